# Starts and ends the processes of a script; to be sourced. Sets work (a
# temporary directory), pids (in start order) and pid_of (by name).

work=$(mktemp -d)
pids=()
declare -A pid_of

stop() {
	local code=$?
	if [ $code -ne 0 ]; then tail -n 5 "$work"/*.log; fi
	# Only running jobs are signalled: the process ID of a job that has ended may
	# have been reused.
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
