# Functions that start and stop the site of test/demo/site. Scripts source this file
# from the root of the repository after building the binaries.

# start_site DIR [FLAG...] returns once the site is up and its settings are in force. It
# sets SITE_PID and the variables of the file DIR/env.
start_site() {
	local dir=$1
	shift
	${GO:-go} build -o bin/demosite ./test/demo/site
	bin/demosite -dir "$dir" "$@" >"$dir/site.log" 2>&1 &
	SITE_PID=$!
	while [ ! -e "$dir/env" ]; do
		if ! kill -0 "$SITE_PID" 2>/dev/null; then
			cat "$dir/site.log" >&2
			return 1
		fi
		sleep 0.1
	done
	. "$dir/env"
	bin/buckthorndock settings apply "$dir/settings"
	await_settings
}

# await_settings waits until all daemons, at least three, are ready and have the same
# settings.
await_settings() {
	local try state
	for try in $(seq 200); do
		if state=$(bin/buckthorndock --output json status 2>/dev/null) &&
			[ "$(printf '%s\n' "$state" | grep -c '"state": "ready"')" -ge 3 ] &&
			[ "$(printf '%s\n' "$state" | grep '"settings_digest"' | sort -u | wc -l)" -eq 1 ]; then
			return 0
		fi
		sleep 0.1
	done
	echo "the daemons are not ready, or have different settings:" >&2
	bin/buckthorndock status >&2
	return 1
}

# stop_site stops every process of the site. It fails when one had exited on its own or
# had to be killed.
stop_site() {
	kill "$SITE_PID" 2>/dev/null || true
	wait "$SITE_PID"
}
