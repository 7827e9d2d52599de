#!/usr/bin/env bash
# Demonstrates dogwoodford: runs the stand-ins and six nodes in three services and
# two data centres as separate processes on the loopback interface. Requests
# three calls deep run while one service is slowed down, one target is drained
# and one is killed. Ends all processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=bin
base=${DEMO_PORT:-27000} # First of 64 ports on 127.0.0.1.
. scripts/processes.sh

# port WORKER OFFSET: prints a port of a worker. Workers are numbered from 1.
port() { echo $((base + $1 * 8 + $2)); }

platform=127.0.0.1:$base
collector=127.0.0.1:$((base + 1))
names=(rounds-1 rounds-2 depot-1 depot-2 billing-1 billing-2)
places=(midrand germiston midrand germiston midrand germiston)
slots=(45 45 15 15 60 60)

# settings INDEX: writes the settings file of a node.
settings() {
	local i=$1 w=$(($1 + 1))
	cat >"$work/${names[$i]}.ini" <<-INI
		[node]
		name = ${names[$i]}
		service = ${names[$i]%-*}
		data_centre = ${places[$i]}
		[listen]
		entry = 127.0.0.1:$(port $w 0)
		exit = 127.0.0.1:$(port $w 1)
		peer = 127.0.0.1:$(port $w 2)
		admin = 127.0.0.1:$(port $w 3)
		[target]
		address = 127.0.0.1:$(port $w 4)
		slots = ${slots[$i]}
		connections = 360
		health = /health
		load = /load
		[platform]
		address = $platform
		[peer]
		key = demonstration-peer-key
		[trace]
		exporter = otlp
		endpoint = $collector
		[log]
		level = info
		format = json
	INI
}

# target INDEX: starts a target. Requests for a sheet call the depot, which
# calls billing.
target() {
	local i=$1 w=$(($1 + 1)) calls=""
	case ${names[$i]} in
	rounds-*) calls="/sheets/ sequence GET /depot/stock/1; /collections sequence POST /billing/invoices" ;;
	depot-*) calls="/stock/ sequence GET /billing/invoices/1" ;;
	esac
	local args=(--listen "127.0.0.1:$(port $w 4)" --service "${names[$i]%-*}" --slots "${slots[$i]}"
		--time 5ms --jitter 2ms --exit "127.0.0.1:$(port $w 1)")
	if [ -n "$calls" ]; then args+=(--calls "$calls"); fi
	start "target-${names[$i]}" "$bin/dogfake" target "${args[@]}"
}

say() { printf '\n== %s\n' "$*"; }

say "starting the platform, a collector of traces, six targets and six nodes"
start platform "$bin/dogfake" platform --listen "$platform"
start collector "$bin/dogfake" collector --listen "$collector"
for i in 0 1 2 3 4 5; do
	settings "$i"
	"$bin/dogwoodford" settings check "$work/${names[$i]}.ini" >/dev/null
	target "$i"
done
sleep 0.5
for i in 0 1 2 3 4 5; do
	start "node-${names[$i]}" "$bin/dogwoodford" node --settings "$work/${names[$i]}.ini"
done

say "applying the contracts of the three firms"
cp contracts/consortium/*.ini "$work/"
for f in firm-1 firm-2 firm-3; do
	"$bin/dogwoodford" contract apply --platform "$platform" "$work/$f.ini" | tail -n 1
done
admins=()
entries=()
for w in 1 2 3 4 5 6; do
	admins+=(--node "127.0.0.1:$(port $w 3)")
	entries+=(--entry "127.0.0.1:$(port $w 0)")
done
"$bin/dogwoodford" contract status firm-1 --platform "$platform" "${admins[@]}" --wait
sleep 3 # Until membership and the owners of key ranges have converged.

say "20 s of requests: depot slow from 4 s to 8 s, target of rounds-2 drained at 11 s, target of billing-2 killed at 14 s"
DOGFAKE_CREDENTIAL=firm-1-sample-credential "$bin/dogfake" load "${entries[@]}" --customer firm-1 \
	--rate "${DEMO_RATE:-400}" --duration 20s --timeout 3s --resends 1 --polite --mix "
8 round-sheet GET /rounds/sheets/{n}
2 collection POST /rounds/collections 200
2 invoice POST /billing/invoices 500
2 stock-count GET /depot/stock/{n}
2 report GET /rounds/reports/{n}" >"$work/table.txt" &
load=$!
sleep 4
for w in 3 4; do "$bin/dogfake" call POST "http://127.0.0.1:$(port $w 4)/control/slow" '{"ms":120}' >/dev/null; done
sleep 4
for w in 3 4; do "$bin/dogfake" call POST "http://127.0.0.1:$(port $w 4)/control/slow" '{"ms":0}' >/dev/null; done
sleep 3
kill -TERM "${pid_of[target-rounds-2]}"
sleep 3
kill -KILL "${pid_of[target-billing-2]}"
wait "$load"
cat "$work/table.txt"
awk '$1 == "total" { if ($2 != $3 + $4 + $5 + $6) { print "the table does not add up"; exit 1 } }' "$work/table.txt"

say "the state of one node"
"$bin/dogwoodford" status --node "127.0.0.1:$(port 1 3)" | head -n 40

sleep 2 # Until the exporters have sent their last spans.
say "one trace"
"$bin/dogfake" call GET "http://$collector/control/tree"

say "stopping the nodes, each with a drain"
for n in "${names[@]}"; do kill -TERM "${pid_of[node-$n]}"; done
for n in "${names[@]}"; do
	if wait "${pid_of[node-$n]}"; then echo "$n: drained"; else
		echo "$n: ended with code $?"
		tail -n 5 "$work/node-$n.log"
	fi
done
