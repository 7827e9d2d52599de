# Starts and ends the processes of a script; to be sourced. Sets work (a
# temporary folder), pids (in order of their start) and pid_of (by name).

work=$(mktemp -d)
pids=()
declare -A pid_of

stop() {
	local code=$?
	if [ $code -ne 0 ]; then tail -n 5 "$work"/*.log; fi
	# Only jobs that still run: the id of one that has ended may belong to
	# another process by now.
	for p in $(jobs -pr); do kill "$p" 2>/dev/null || true; done
	wait
	if [ -n "${DEMO_LOGS:-}" ]; then cp -r "$work" "$DEMO_LOGS"; fi
	rm -rf "$work"
}
trap stop EXIT

# start NAME COMMAND...: starts a process whose output goes to NAME.log.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids+=($!)
	pid_of[$name]=$!
}
