#!/usr/bin/env bash
# Plays the days of deploy/days on the site files that are named, with the users' bench,
# on the grown and large ones also those of grown/, and on each the days of seeds.txt that once broke
# a rule there.
#   BENCH=path/to/the/bench test/days/run.sh SITE...
# The usual sites are the large one, where a day takes minutes, the grown ones and Azahar's.
# Exits 1 when a rule broke on any.
set -euo pipefail
cd "$(dirname "$0")/../.."
: "${BENCH:?path of the bench}"
broken=0

# play SITE DAY [OPTION...] prints the day's line and notes a broken rule.
play() {
	local site=$1 day=$2 out line
	shift 2
	out=$("$BENCH" run "$site" "$day" "$@" --why "${WHY:-own days}" 2>&1) || true
	line=$(grep -m 1 -E '^(own|quiet|trouble|scale|mix)' <<<"$out") || true
	printf '%s %s %s\n' "$(basename "$site" .toml)" "$*" "${line:-$day gave no result: $(tail -3 <<<"$out")}"
	case "$line" in *BROKEN* | "") broken=1 ;; esac
}

for site in "$@"; do
	days=(deploy/days/*.toml)
	[[ $site != *-grown.toml && $site != *-large.toml ]] || days+=(test/days/grown/*.toml)
	for day in "${days[@]}"; do
		play "$site" "$day"
	done
	while read -r name day seed _; do
		[ "$name" = "$(basename "$site" .toml)" ] || continue
		play "$site" "$day" --seed "$seed"
	done <test/days/seeds.txt
done
exit $broken
