#!/usr/bin/env bash
# Measures the overhead of nodes on a call: the stand-in platform, one target and
# two nodes run as separate processes on the loopback interface, and dogload sends
# the same requests directly, through the node beside the target, and through
# the entry of another service. Prints a table and JSON. Ends all processes
# that it started.
#
# Environment variables: MEASURE_PORT (first of 16 ports),
# MEASURE_RATE (requests per second on each way), MEASURE_DURATION,
# MEASURE_WARMUP, MEASURE_CONCURRENT, MEASURE_PATH (path below the service) and
# MEASURE_BIN (directory of the binaries). With MEASURE_PROFILE=DIR, a profile of
# processor time and the allocations of each node are written to DIR.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=${MEASURE_BIN:-bin}
base=${MEASURE_PORT:-27200}
rate=${MEASURE_RATE:-200}
duration=${MEASURE_DURATION:-15s}
path=${MEASURE_PATH:-/sheets/1}
. scripts/processes.sh

platform=127.0.0.1:$base
target=127.0.0.1:$((base + 1))

# node NAME SERVICE FIRST_PORT TARGET: starts a node.
node() {
	cat >"$work/$1.ini" <<-INI
		[node]
		name = $1
		service = $2
		data_centre = midrand
		[listen]
		entry = 127.0.0.1:$3
		exit = 127.0.0.1:$(($3 + 1))
		peer = 127.0.0.1:$(($3 + 2))
		admin = 127.0.0.1:$(($3 + 3))
		[target]
		address = $4
		slots = 500
		connections = 1000
		health = /health
		load = /load
		[platform]
		address = $platform
		[peer]
		key = measurement-peer-key
		[trace]
		exporter = none
		[log]
		level = info
		format = json
	INI
	start "$1" "$bin/dogwoodford" node --settings "$work/$1.ini"
}

start platform "$bin/dogfake" platform --listen "$platform"
start target "$bin/dogfake" target --listen "$target" --service rounds --slots 500 --time 1ms
sleep 0.5
node rounds-1 rounds $((base + 2)) "$target"
beside=${pids[-1]}
# This node has no target: it serves only as the entry of calls to rounds.
node billing-1 billing $((base + 6)) "127.0.0.1:$((base + 10))"
entry=${pids[-1]}
"$bin/dogwoodford" contract apply --platform "$platform" contracts/consortium/firm-1.ini >"$work/apply.log"
"$bin/dogwoodford" contract status firm-1 --platform "$platform" \
	--node "127.0.0.1:$((base + 5))" --node "127.0.0.1:$((base + 9))" --wait >"$work/status.log"
sleep 12 # Until membership has converged and the slow start of the target is over.

profile() {
	sleep 5
	for n in rounds-1,$((base + 5)) billing-1,$((base + 9)); do
		"$bin/dogfake" call GET "http://127.0.0.1:${n#*,}/debug/pprof/profile?seconds=8" >"$MEASURE_PROFILE/${n%,*}.cpu" &
		pids+=($!)
	done
	sleep 9
	for n in rounds-1,$((base + 5)) billing-1,$((base + 9)); do
		"$bin/dogfake" call GET "http://127.0.0.1:${n#*,}/debug/pprof/allocs" >"$MEASURE_PROFILE/${n%,*}.allocs"
	done
}
if [ -n "${MEASURE_PROFILE:-}" ]; then
	mkdir -p "$MEASURE_PROFILE"
	profile &
	pids+=($!)
fi

echo "load average before: $(cut -d' ' -f1-3 /proc/loadavg)"
"$bin/dogload" -way "direct=http://$target$path" \
	-way "one-node=http://127.0.0.1:$((base + 2))/rounds$path" \
	-way "two-nodes=http://127.0.0.1:$((base + 6))/rounds$path" \
	-customer firm-1 -credential firm-1-sample-credential \
	-rate "$rate" -duration "$duration" -warmup "${MEASURE_WARMUP:-3s}" -concurrent "${MEASURE_CONCURRENT:-1000}" \
	-process "beside=$beside,127.0.0.1:$((base + 5))" -process "entry=$entry,127.0.0.1:$((base + 9))" \
	-json-file "$work/report.json"
echo "load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
cat "$work/report.json"
