#!/usr/bin/env bash
# Runs the day scenarios of deploy/days on the given site files with the users' bench,
# those of grown/ too on grown and large sites, and for each site the scenarios and seeds
# of seeds.txt that once broke a rule there.
#   BENCH=path/to/the/bench test/days/run.sh SITE...
# The usual sites are the large one, where a day takes minutes, the grown ones and Azahar's.
# WHY sets the reason recorded in the bench's journal. Exits 1 when any run breaks a rule.
set -euo pipefail
cd "$(dirname "$0")/../.."
: "${BENCH:?set BENCH to the path of the bench}"
broken=0

# run_day SITE DAY [OPTION...] runs a day, prints its result line and records a broken rule.
run_day() {
	local site=$1 day=$2 out line
	shift 2
	out=$("$BENCH" run "$site" "$day" "$@" --why "${WHY:-own days}" 2>&1) || true
	line=$(grep -m 1 -E '^(own|quiet|trouble|scale|mix)' <<<"$out") || true
	printf '%s %s %s\n' "$(basename "$site" .toml)" "$*" "${line:-$day printed no result: $(tail -3 <<<"$out")}"
	case "$line" in *BROKEN* | "") broken=1 ;; esac
}

for site in "$@"; do
	days=(deploy/days/*.toml)
	[[ $site != *-grown.toml && $site != *-large.toml ]] || days+=(test/days/grown/*.toml)
	for day in "${days[@]}"; do
		run_day "$site" "$day"
	done
	while read -r name day seed _; do
		[ "$name" = "$(basename "$site" .toml)" ] || continue
		run_day "$site" "$day" --seed "$seed"
	done <test/days/seeds.txt
done
exit $broken
