#!/usr/bin/env bash
# Measures placement, overload and fault handling under load: starts the site of
# bench/site as separate processes and runs the named parts, by default all except
# quick:
#   policies  a mix, and its short requests alone, under each placement policy
#   prefix    prompts that share prefixes, under two policies
#   overload  the mix at 100% and 150% of the engines' capacity
#   wake      an initial burst of requests, and the retries of those refused
#   quick     the mix, and its short requests alone, under the length-aware policy
#   faults    one engine killed and one stopped in the middle of the mix
# Writes the result of each part to the directory OUT and, when RECORD is set,
# bench/results/<date>-<commit>.json and one line of bench/HISTORY.md.
# Environment: SEED, DURATION (of the mix), OUT (default: a temporary directory),
# RECORD, and KEEP, which keeps the temporary directory after success.
set -euo pipefail
cd "$(dirname "$0")/../.."
. test/demo/site.sh

seed=${SEED:-1}
duration=${DURATION:-10s}
parts=${*:-policies prefix overload wake faults}
rate=$(awk '$1 == "rate:" {print $2}' bench/mixes/mixed.yaml) # 70% of the capacity
dir=$(mktemp -d "${TMPDIR:-/tmp}/buckthorndock-bench.XXXXXX")
out=${OUT:-$dir/results}
mkdir -p "$out"
SITE_PID=
stopped=

finish() {
	local code=$?
	trap - EXIT
	if [ -n "$SITE_PID" ]; then
		stop_site || { cat "$dir/site.log" >&2; [ "$code" -ne 0 ] || code=1; }
	fi
	if [ "$code" -eq 0 ] && [ -z "${KEEP:-}" ]; then
		rm -rf "$dir"
	else
		echo "files and logs are in $dir" >&2
	fi
	exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

# pid_of NAME prints the id of that process of the site.
pid_of() {
	awk -v name="$1" '$1 == name {print $2}' "$dir/pids"
}

# rate_at PERCENT prints the arrival rate for that percentage of the capacity.
rate_at() {
	awk -v rate="$rate" -v percent="$1" 'BEGIN {print rate * percent / 70}'
}

# load NAME FLAG... runs a mix once and writes its results under NAME.
load() {
	local name=$1
	shift
	echo "== $name"
	bin/buckthorndock bench run --seed "$seed" --json "$out/$name.json" --html "$out/$name.html" "$@" | tee "$out/$name.txt"
}

policies() {
	echo "== policies"
	bin/buckthorndock bench compare --mix bench/mixes/mixed.yaml --seed "$seed" --duration "$duration" \
		--json "$out/policies.json" --html "$out/policies.html" | tee "$out/policies.txt"
}

# quick runs the comparison with the length-aware policy only.
quick() {
	echo "== quick"
	bin/buckthorndock bench compare --mix bench/mixes/mixed.yaml --seed "$seed" --duration "$duration" \
		--policy length-aware --json "$out/quick.json" --html "$out/quick.html" | tee "$out/quick.txt"
}

prefix() {
	echo "== prefix"
	bin/buckthorndock bench compare --mix bench/mixes/prefix.yaml --seed "$seed" --rest 3s \
		--policy least-loaded+priority --policy length-aware \
		--json "$out/prefix.json" --html "$out/prefix.html" | tee "$out/prefix.txt"
}

# Deadlines under overload and faults are a quarter of the mix's: otherwise the run is
# too short for the backlog to exceed them.
deadline_scale=0.25

overload() {
	load load-100 --mix bench/mixes/mixed.yaml --rate "$(rate_at 100)" --duration "$duration" --scale-time "$deadline_scale"
	sleep 3
	load load-150 --mix bench/mixes/mixed.yaml --rate "$(rate_at 150)" --duration "$duration" --scale-time "$deadline_scale"
	sleep 3
}

wake() {
	load wake --mix bench/mixes/wake.yaml
	sleep 3
}

# faults runs the same arrivals twice: with the faults in the middle, and again with
# the two engines still down, which measures the capacity of the other four.
faults() {
	( sleep 4; kill -KILL "$(pid_of engine-2)"; kill -STOP "$(pid_of engine-5)" ) &
	local injector=$!
	load faults --mix bench/mixes/mixed.yaml --duration "$duration" --scale-time "$deadline_scale"
	wait "$injector"
	sleep 3
	load four-left --mix bench/mixes/mixed.yaml --duration "$duration" --scale-time "$deadline_scale"
}

start_site "$dir" -examples bench/site -daemons hal-a,hal-a,hal-a -time-scale 8 -cache-tokens 60000 \
	-witness -may-end engine-2,engine-5
for part in $parts; do
	"$part"
done
echo "== summary"
commit=$(git rev-parse --short HEAD)
[ -z "$(git status --porcelain -- cmd internal bench/mixes bench/site test/bench test/demo)" ] || commit=$commit+
go run ./test/bench/summary -results "$out" -site "$dir" -commit "$commit" -seed "$seed" ${RECORD:+-record bench}
