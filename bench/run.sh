#!/usr/bin/env bash
# Compares all placement policies on real daemons and stand-in engines, with each
# mix, and keeps the result: bench/results/<date>-<commit>-<mix>.json, a page
# beside it, and one line for each policy in bench/HISTORY.md.
#
# BENCH_MIXES      mixes to run; frigolijst-hour and kuopio-evening
# BENCH_RATE       arrivals a second, instead of the mix's
# BENCH_DURATION   time of arrivals of each run; 20s
# BENCH_SEED       1
# BENCH_TIME_SCALE engine seconds in a real second; 4
# BENCH_LENGTHS    factor on prompt lengths; 1
set -euo pipefail
cd "$(dirname "$0")/.."
. test/demo/site.sh

scale=${BENCH_TIME_SCALE:-4}
commit=$(git rev-parse --short HEAD)
[ -z "$(git status --porcelain -- cmd internal)" ] || commit=$commit-changed
dir=$(mktemp -d "${TMPDIR:-/tmp}/buckthorndock-bench.XXXXXX")
SITE_PID=

finish() {
	local code=$?
	trap - EXIT
	if [ -n "$SITE_PID" ]; then
		stop_site || { cat "$dir/site.log" >&2; [ "$code" -ne 0 ] || code=1; }
	fi
	[ "$code" -ne 0 ] && echo "bench failed; its files and logs are in $dir" >&2 || rm -rf "$dir"
	exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

start_site "$dir" -time-scale "$scale"
mkdir -p bench/results
for mix in ${BENCH_MIXES:-frigolijst-hour kuopio-evening}; do
	out=bench/results/$(date -u +%F)-$commit-$mix
	bin/buckthorndock bench compare --mix "bench/mixes/$mix.yaml" --seed "${BENCH_SEED:-1}" \
		--duration "${BENCH_DURATION:-20s}" ${BENCH_RATE:+--rate "$BENCH_RATE"} \
		--scale-time "$(awk "BEGIN { print 1 / $scale }")" --scale-lengths "${BENCH_LENGTHS:-1}" \
		--json "$out.json" --html "$out.html" --history bench/HISTORY.md --label "$commit"
done
