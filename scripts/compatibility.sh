#!/usr/bin/env bash
# Checks that two builds understand each other's data and messages. Both replay
# the committed traces to the same bytes, check the same files, and run in one
# fleet in which a node of each build is stopped and replaced by the other.
# Usage: scripts/compatibility.sh OLD NEW (folders with the programs of a build)
set -euo pipefail
old=$(cd "$1" && pwd)
new=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."

base=${COMPATIBILITY_PORT:-26000} # First of 64 ports on 127.0.0.1.
. scripts/processes.sh

say() { printf '\n== %s\n' "$*"; }

# same NAME ARGUMENTS...: runs the program NAME of both builds; output and exit
# code must agree.
same() {
	local name=$1 a=0 b=0
	shift
	"$old/$name" "$@" >"$work/old.out" 2>&1 || a=$?
	"$new/$name" "$@" >"$work/new.out" 2>&1 || b=$?
	[ "$a" = "$b" ] || { echo "$name $*: exit codes $a and $b" && exit 1; }
	cmp "$work/old.out" "$work/new.out"
	echo "same ($(wc -c <"$work/old.out") bytes, code $a): $name ${*##*/}"
}

say "replays of the committed traces"
# The baselines collapse, which takes minutes for each of the longer traces.
same dogreplay --seed 7 --json core/process/dogreplay/testdata/traces/*.trace
same dogreplay --seed 7 --policy fixed --json core/process/dogreplay/testdata/traces/factdesk-drain.trace

say "checks of contracts"
for f in contracts/*/*.ini; do same dogwoodford contract check "$f"; done

# One fleet of three services with two nodes each.
port() { echo $((base + $1 * 8 + $2)); }
platform=127.0.0.1:$base
names=(rounds-1 rounds-2 depot-1 depot-2 billing-1 billing-2)
builds=("$old" "$new" "$new" "$old" "$old" "$new")

node() { start "node-${names[$1]}" "$2/dogwoodford" node --settings "$work/${names[$1]}.ini"; }

say "one fleet of both builds"
start platform "$new/dogfake" platform --listen "$platform"
for i in "${!names[@]}"; do
	w=$((i + 1))
	cat >"$work/${names[$i]}.ini" <<-INI
		[node]
		name = ${names[$i]}
		service = ${names[$i]%-*}
		data_centre = midrand
		[listen]
		entry = 127.0.0.1:$(port $w 0)
		exit = 127.0.0.1:$(port $w 1)
		peer = 127.0.0.1:$(port $w 2)
		admin = 127.0.0.1:$(port $w 3)
		[target]
		address = 127.0.0.1:$(port $w 4)
		slots = 40
		connections = 360
		health = /health
		load = /load
		[platform]
		address = $platform
		[peer]
		key = compatibility-peer-key
	INI
	same dogwoodford settings check "$work/${names[$i]}.ini"
	case ${names[$i]} in
	rounds-*) calls="/sheets/ sequence GET /depot/stock/1; /collections sequence POST /billing/invoices" ;;
	*) calls="" ;;
	esac
	args=(--listen "127.0.0.1:$(port $w 4)" --service "${names[$i]%-*}" --slots 40 --time 5ms --exit "127.0.0.1:$(port $w 1)")
	if [ -n "$calls" ]; then args+=(--calls "$calls"); fi
	start "target-${names[$i]}" "$new/dogfake" target "${args[@]}"
done
sleep 0.5
admins=()
entries=()
for i in "${!names[@]}"; do
	node "$i" "${builds[$i]}"
	admins+=(--node "127.0.0.1:$(port $((i + 1)) 3)")
	entries+=("127.0.0.1:$(port $((i + 1)) 0)")
done
cp contracts/consortium/firm-1.ini "$work/"
"$old/dogwoodford" contract apply --platform "$platform" "$work/firm-1.ini" | tail -n 1
"$new/dogwoodford" contract status firm-1 --platform "$platform" "${admins[@]}" --wait
sleep 5 # Membership and the owners of key ranges settle.

# load WHAT: sends requests of all kinds through each entry in turn; nine in ten
# must complete at each.
load() {
	for e in "${entries[@]}"; do
		DOGFAKE_CREDENTIAL=firm-1-sample-credential "$new/dogfake" load --entry "$e" --customer firm-1 \
			--rate 100 --duration 4s --timeout 3s --resends 1 --polite --mix "
8 round-sheet GET /rounds/sheets/{n}
2 collection POST /rounds/collections 200
2 invoice POST /billing/invoices 500
2 stock-count GET /depot/stock/{n}" >"$work/table.txt"
		awk -v what="$1" -v entry="$e" '$1 == "total" { seen = 1; print what, "entry " entry ": asked", $2, "completed", $3
			if ($3 < 0.9 * $2) { print "too few completed"; exit 1 } } END { if (!seen) exit 1 }' "$work/table.txt"
	done
}

# status ADDRESS: the state that both builds read from a node must agree.
status() {
	"$old/dogwoodford" status --node "$1" | awk '{ print $1 }' | sort -u >"$work/old.out"
	"$new/dogwoodford" status --node "$1" | awk '{ print $1 }' | sort -u >"$work/new.out"
	cmp "$work/old.out" "$work/new.out"
}

load "all nodes,"
for i in "${!names[@]}"; do status "127.0.0.1:$(port $((i + 1)) 3)"; done
echo "both builds read the status of all nodes"

# replace INDEX BUILD: stops a node and starts it again with another build.
replace() {
	local pid=${pid_of[node-${names[$1]}]}
	kill -TERM "$pid"
	wait "$pid" || { echo "node ${names[$1]} ended with code $?" && exit 1; }
	sleep 1
	node "$1" "$2"
}
say "a node of each build is stopped and replaced by the other"
replace 0 "$new" # Was old.
replace 2 "$old" # Was new.
"$old/dogwoodford" contract status firm-1 --platform "$platform" "${admins[@]}" --wait
sleep 5
load "after the change,"
for i in "${!names[@]}"; do
	pid=${pid_of[node-${names[$i]}]}
	kill -TERM "$pid"
	wait "$pid" || { echo "node ${names[$i]} ended with code $?" && exit 1; }
done
echo "all nodes ended as planned"
if grep -lE '"event":(1103|1112|1118|1605)' "$work"/node-*.log; then echo "messages were not understood" && exit 1; fi

# The soak starts and restarts its nodes through this program, so that each
# start takes the other build.
say "sidecars of both builds against the stand-in store"
cat >"$work/either" <<SH
#!/usr/bin/env bash
exec 9>"$work/turn.lock"
flock 9
turn=\$(cat "$work/turn" 2>/dev/null || echo 0)
echo \$((turn + 1)) >"$work/turn"
exec 9>&-
if [ \$((turn % 2)) = 0 ]; then exec "$old/dogwoodford" "\$@"; else exec "$new/dogwoodford" "\$@"; fi
SH
chmod +x "$work/either"
for program in "$old" "$new"; do
	"$program/dogsoak" --program "$work/either" --seed "${COMPATIBILITY_SEED:-4}" --count 3 --subnet 61 --dir "$work/soak"
done
echo "starts of sidecars: $(cat "$work/turn")"
say "compatible"
