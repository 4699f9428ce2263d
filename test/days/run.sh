#!/usr/bin/env bash
# Plays all days of this folder on the site files that are named, with the users' bench.
#   BENCH=path/to/the/bench test/days/run.sh SITE...
# Exits 1 when a rule broke on any.
set -euo pipefail
cd "$(dirname "$0")/../.."
: "${BENCH:?path of the bench}"
broken=0
for site in "$@"; do
	for day in test/days/*.toml; do
		out=$("$BENCH" run "$site" "$day" --why "${WHY:-own days}" 2>&1) || true
		line=$(grep -E '^own-' <<<"$out" | head -1)
		printf '%s %s\n' "$(basename "$site" .toml)" "${line:-$day gave no result: $(tail -3 <<<"$out")}"
		case "$line" in *BROKEN* | "") broken=1 ;; esac
	done
done
exit $broken
