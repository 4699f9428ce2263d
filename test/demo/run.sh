#!/usr/bin/env bash
# Starts a small site as separate processes, publishes the example settings, sends a
# mix and prints the results and each daemon's placement decisions. Exits 0 only if
# every admitted request has a complete answer that belongs to it and each class has at
# least one. KEEP=1 leaves the site running.
set -euo pipefail
cd "$(dirname "$0")/../.."
. test/demo/site.sh

dir=$(mktemp -d "${TMPDIR:-/tmp}/buckthorndock-demo.XXXXXX")
SITE_PID=

finish() {
	local code=$?
	trap - EXIT
	if [ -n "$SITE_PID" ]; then
		stop_site || { cat "$dir/site.log" >&2; [ "$code" -ne 0 ] || code=1; }
	fi
	if [ "$code" -eq 0 ]; then
		rm -rf "$dir"
	else
		echo "demo failed; its files and logs are in $dir" >&2
	fi
	exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

# decisions HOST prints the daemon's placements, counted by target, class, verdict and
# reason, and each placement of a prompt of 100,000 tokens or more.
decisions() {
	echo "$1:"
	awk '
		/msg=placement / {
			delete f
			for (i = 1; i <= NF; i++) { p = index($i, "="); f[substr($i, 1, p - 1)] = substr($i, p + 1) }
			n[f["target"] " class=" f["class"] " verdict=" f["verdict"] " why=" f["why"]]++
			if (f["prompt_tokens"] + 0 >= 100000) long[++l] = $0
		}
		END {
			for (k in n) printf "  %4d x %s\n", n[k], k | "sort -k3"
			close("sort -k3")
			for (i = 1; i <= l; i++) print "  " long[i]
		}' "$dir/logs/$1.log"
}

echo "== start: three failure domains with a daemon, engines and services in each"
start_site "$dir"
cat "$dir/site.log"

echo
echo "== send"
sent=0
bin/buckthorndock bench run --strict --mix test/demo/mix.yaml || sent=$?

echo
echo "== placement decisions of each daemon"
for host in $DAEMONS; do
	decisions "$host"
done

if [ "${KEEP:-}" = 1 ]; then
	first=${BUCKTHORNDOCK_ADDRESS%%,*}
	cat <<EOF

== the site is left running; its files are in $dir
curl -N http://$first/v1/completions -H 'Authorization: Bearer demo-fridges-large' \\
  -H 'Content-Type: application/json' \\
  -d '{"model":"list-writer","prompt":"milk, eggs, rye bread","max_tokens":16,"stream":true}'
curl http://$first/v1/services/basket/confirm -H 'Authorization: Bearer demo-phones' \\
  -H 'Content-Type: application/json' -H 'X-Repeatable: false' -H 'Idempotency-Key: order-77' \\
  -d '{"basket":77}'
curl http://$first/operator/v1/status -H 'Authorization: Bearer $BUCKTHORNDOCK_TOKEN'
. $dir/env && bin/buckthorndock status
kill $SITE_PID   # stops it
EOF
	trap - EXIT
	exit "$sent"
fi
exit "$sent"
