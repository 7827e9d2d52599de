#!/usr/bin/env bash
# Measures one node in a separate process: resident memory and processor time
# when idle and with 10, 100 and 1,000 requests in progress. The stand-ins and the
# node run on the loopback interface. Ends all processes that it started.
# Usage: scripts/footprint.sh [in progress ...]
set -euo pipefail
cd "$(dirname "$0")/.."

bin=bin
base=${FOOTPRINT_PORT:-27500} # First of 8 ports on 127.0.0.1.
idle=${FOOTPRINT_IDLE:-20}    # Duration of the idle measurement in seconds.
sizes=("$@")
if [ ${#sizes[@]} -eq 0 ]; then sizes=(10 100 1000); fi
. scripts/processes.sh

# usage PID: prints the resident memory in MB and the processor time in seconds.
usage() { awk -v page="$(getconf PAGESIZE)" -v tick="$(getconf CLK_TCK)" '{ sub(/.*\) /, ""); print $22 * page / 1e6, ($12 + $13) / tick }' "/proc/$1/stat"; }

cat >"$work/node.ini" <<-INI
	[node]
	name = rounds-1
	service = rounds
	data_centre = midrand
	[listen]
	entry = 127.0.0.1:$((base + 1))
	exit = 127.0.0.1:$((base + 2))
	peer = 127.0.0.1:$((base + 3))
	admin = 127.0.0.1:$((base + 4))
	[target]
	address = 127.0.0.1:$((base + 5))
	slots = 4000
	connections = 4000
	health = /health
	load = /load
	[platform]
	address = 127.0.0.1:$base
	[peer]
	key = demonstration-peer-key
	[trace]
	exporter = none
	[log]
	level = warn
	format = json
INI

start platform "$bin/dogfake" platform --listen "127.0.0.1:$base"
start target "$bin/dogfake" target --listen "127.0.0.1:$((base + 5))" --service rounds --slots 4000 --time 1s
sleep 0.5
cp contracts/consortium/firm-1.ini "$work/"
"$bin/dogwoodford" contract apply --platform "127.0.0.1:$base" "$work/firm-1.ini" >/dev/null
start node "$bin/dogwoodford" node --settings "$work/node.ini"
node=${pids[-1]}
sleep 10 # Until the node has joined, created its key ranges and become ready.

echo "load average: $(cut -d ' ' -f 1-3 /proc/loadavg)"
read -r rss before < <(usage "$node")
sleep "$idle"
read -r rss after < <(usage "$node")
echo "idle: rss $rss MB, processor $(awk -v a="$after" -v b="$before" -v s="$idle" 'BEGIN { printf "%.2f", 100 * (a - b) / s }')% of a core"
# Each request takes 1 s, so the rate equals the number in progress.
for n in "${sizes[@]}"; do
	echo "in progress: $n (load average: $(cut -d ' ' -f 1-3 /proc/loadavg))"
	"$bin/dogload" -way node="http://127.0.0.1:$((base + 1))/rounds/sheets/1" -customer firm-1 \
		-credential firm-1-sample-credential -rate "$n" -concurrent 4000 -duration 12s -warmup 4s \
		-process node="$node" >"$work/table.txt" &
	load=$!
	pids+=($load)
	sleep 12
	read -r rss _ < <(usage "$node")
	echo "during the run: rss $rss MB"
	wait "$load"
	cat "$work/table.txt"
done
