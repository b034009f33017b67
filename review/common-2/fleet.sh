# Functions for the scripts of the cases: a small fleet of proxies on loopback against the stand-in
# of the platform. A script sets HERE (its folder), sources this file and calls fleet_start.
ROOT="$(cd "$HERE/../.." && pwd)"
BIN="$ROOT/target/review-2"
PROXY="$ROOT/target/daemon/pimentowingd"
TROUBLE="${TROUBLE:-1}"
WORK="$(mktemp -d)"
RECORD="$HERE/record.txt"
VM_PID=() VM_CALLER=() VM_API=() VM_PEER=() VM_METRICS=()
: >"$RECORD"
: >"$WORK/pids"

fleet_end() {
	local pid
	while read -r pid; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done <"$WORK/pids"
	rm -rf "$WORK"
}
trap fleet_end EXIT
trap 'exit 2' INT TERM

# The case could not run.
cannot() {
	echo "cannot run: $*" | tee -a "$RECORD"
	exit 2
}

for file in "$PROXY" "$BIN/tool" "$BIN/standin-platform"; do
	[ -x "$file" ] || cannot "$file is not built"
done

# fault NAME VALUE [BODY]: injects a fault into the stand-in.
fault() {
	"$BIN/tool" http POST "$PLATFORM" "/fault?name=$1&value=$2" "${3:-}" >/dev/null
}

# vm_start INDEX: starts or restarts the proxy with the command of the deploy file.
vm_start() {
	local i=$1
	"$PROXY" --binding platform --service fleet --name "edge-$((i + 1))" \
		--availability-zone zone-1 --zone-regions zone-1=region-1 \
		--caller-address "127.0.0.1:${VM_CALLER[i]}" --api-address "127.0.0.1:${VM_API[i]}" \
		--peer-address "127.0.0.1:${VM_PEER[i]}" \
		--metrics-address "127.0.0.1:${VM_METRICS[i]}" \
		--store "127.0.0.1:${STORE:-$PLATFORM}" --promoter "127.0.0.1:$PLATFORM" \
		--rate-window 5s --log-level info --stop-timeout 6s --memory-limit 260 \
		--evacuation-timeout 0s >>"$WORK/vm-$i.log" 2>&1 &
	VM_PID[i]=$!
	echo "$!" >>"$WORK/pids"
	disown
}

# vm_wait INDEX: waits until the proxy is ready.
vm_wait() {
	local n
	for n in $(seq 100); do
		"$BIN/tool" http GET "${VM_API[$1]}" /readyz >/dev/null && return
		sleep 0.1
	done
	cannot "proxy $1 does not become ready"
}

# fleet_start COUNT CATALOGUE: starts the stand-in, with the databases in DATABASES, and up to seven
# proxies.
fleet_start() {
	local count=$1 ports i database groups=()
	mapfile -t ports < <("$BIN/tool" ports 40)
	PLATFORM=${ports[0]}
	i=1
	for database in ${DATABASES:-core}; do
		groups+=("$database=${ports[i]},${ports[i + 1]},${ports[i + 2]}")
		i=$((i + 3))
	done
	"$BIN/standin-platform" "$PLATFORM" "${groups[@]}" >"$WORK/platform.log" 2>&1 &
	echo "$!" >>"$WORK/pids"
	disown
	for i in $(seq 50); do
		"$BIN/tool" http GET "$PLATFORM" /state >/dev/null && break
		sleep 0.1
	done
	fault config 1 "$2" || cannot "the stand-in does not take the catalogue"
	for i in $(seq 0 $((count - 1))); do
		VM_CALLER[i]=${ports[10 + 4 * i]} VM_API[i]=${ports[11 + 4 * i]}
		VM_PEER[i]=${ports[12 + 4 * i]} VM_METRICS[i]=${ports[13 + 4 * i]}
		vm_start "$i"
	done
	for i in $(seq 0 $((count - 1))); do
		vm_wait "$i"
	done
}

# A catalogue with the bounds of the site bmac-grade: three routes to one database.
CATALOGUE='{"Version":1,"Routes":[
{"Name":"r1","Host":"desk","Type":"primary","TimeoutMs":800,"TargetLatencyMs":600,"Priority":1,
 "Service":"core","Public":false},
{"Name":"r2","Host":"views","Type":"bounded_staleness","TimeoutMs":2000,"TargetLatencyMs":1000,
 "Priority":2,"Service":"core","MaxStalenessMs":1500,"Public":false},
{"Name":"r3","Host":"sync","Type":"read_your_writes","TimeoutMs":800,"TargetLatencyMs":1000,
 "Priority":2,"Service":"core","MaxStalenessMs":2500,"Public":false}],
"Services":[{"Name":"core","MaxConns":38,"SyncReplicas":0}],"Limits":{"TxIdleMs":3000},
"Tenants":[{"Name":"amber","ApiKeys":["amber-key"],"RatePerS":500,"Burst":500}]}'
