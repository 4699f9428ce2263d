# Functions to start and stop the site of test/demo/site; sourced by scripts that
# stand at the root of the repository and have built the programs.

# start_site DIR [FLAG...]: returns once the site is up and its settings are in
# force. Sets SITE_PID and what the file DIR/env has.
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

# await_settings: every daemon is ready and follows the same settings.
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
	echo "the daemons are not ready, or follow different settings:" >&2
	bin/buckthorndock status >&2
	return 1
}

# stop_site: ends every process of the site; fails when one had ended by itself or
# had to be killed.
stop_site() {
	kill "$SITE_PID" 2>/dev/null || true
	wait "$SITE_PID"
}
