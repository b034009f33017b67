# Functions that start and use the stand-ins and proxies of one scenario, its fleet. The store listens on
# $base_port, the three servers of database N (1 to 3) on $base_port + 10*N and the two ports above it.
# Proxy N serves callers on $base_port + 40 + N, its peers on $base_port + 60 + N and the administration
# API on $base_port + 80 + N. Comments on functions list the arguments after a colon.
# shellcheck shell=bash disable=SC2154

declare -A proxy_pid server_pid

# Starts a process in the background: LOG COMMAND...
start_process() {
	local log=$1
	shift
	"$@" >"$out_dir/$scenario_name/$log.log" 2>&1 &
	pids+=($!)
}

# Kills all processes of the scenario.
fleet_stop() {
	((${#pids[@]} == 0)) || kill -KILL "${pids[@]}" 2>/dev/null || true
	wait || true
}

# Repeats a command until it succeeds, for about 15 s: COMMAND...
wait_for() {
	local i
	for ((i = 0; i < 150; i++)); do
		if "$@" >/dev/null 2>&1; then
			return 0
		fi
		sleep 0.1
	done
	echo "$scenario_name: timeout: $*" >&2
	return 1
}

# Starts the primary and the two replicas of a database: DATABASE_NUMBER OPTIONS...
database_start() {
	local primary_port=$((base_port + 10 * $1)) i replica_args
	shift
	for i in 0 1 2; do
		replica_args=()
		((i)) && replica_args=(--primary "127.0.0.1:$primary_port")
		start_process "server-$((primary_port + i))" "$build/standins/standin-database" \
			--listen "127.0.0.1:$((primary_port + i))" --name "server-$((primary_port + i))" \
			"${replica_args[@]}" --user proxy --password proxy-secret \
			--control-user control --control-password control-secret "$@"
		server_pid[$((primary_port + i))]=${pids[-1]}
	done
}

# Writes the example document, adapted to the load and changed by a jq filter: FILTER. Servers get the
# ports of this scenario, databases get the durability "term", and accounts get a rate of 100000/s and
# no other limits. The route with a staleness limit of 2 s is changed to match the load tool's stale
# reads.
write_document() {
	jq --arg base_port "$base_port" '($base_port | tonumber) as $b
		| .databases |= (to_entries | map(.key as $d | .value
			| .durability = "term" | .servers |= (to_entries
				| map(.value + {address: "127.0.0.1:\($b + 10 * ($d + 1) + .key)"}))))
		| .routes |= map(if .stale_age_ms == 2000
			then .match = ["select v from schedule"] else . end)
		| .accounts |= map(del(.databases, .max_connections)
			+ {rate_per_s: 100000, burst: 100000})
		| '"$1" docs/example.json >"$out_dir/$scenario_name/document.json"
}

# Starts a proxy: NUMBER
proxy_start() {
	start_process "proxy-$1" env PW_UPSTREAM_PASSWORD=proxy-secret PW_CONTROL_PASSWORD=control-secret \
		PW_STORE=127.0.0.1:$base_port PW_SERVICE=example PW_API_TOKEN=$api_token \
		"$build/daemon/pimentowingd" --name "vm-$1" --availability-zone "zone-$(($1 % 3))" \
		--caller-address "127.0.0.1:$((base_port + 40 + $1))" \
		--peer-address "127.0.0.1:$((base_port + 60 + $1))" \
		--api-address "127.0.0.1:$((base_port + 80 + $1))" --seed-peers "127.0.0.1:$((base_port + 61))"
	proxy_pid[$1]=${pids[-1]}
}

# Prints the status of a proxy as JSON: NUMBER
proxy_status() {
	curl -fsS -H "Authorization: Bearer $api_token" "http://127.0.0.1:$((base_port + 80 + $1))/v1/status"
}

# Succeeds if a proxy is fresh, holds its lease and has a table of COUNT members in effect: NUMBER COUNT
proxy_joined() {
	proxy_status "$1" | jq -e --argjson n "$2" '.fresh and .membership.lease and
		(.membership.members | length) == $n and
		.membership.epoch == .membership.epoch_in_effect'
}

# Waits until proxy_joined succeeds for the proxies 1 to COUNT: COUNT
fleet_wait() {
	local i
	for ((i = 1; i <= $1; i++)); do
		wait_for proxy_joined "$i" "$1"
	done
}

# Starts the store, three databases and the proxies: PROXY_COUNT FILTER SERVER_OPTIONS...
fleet_start() {
	local count=$1 filter=$2 i
	shift 2
	start_process store "$build/standins/standin-store" --listen "127.0.0.1:$base_port"
	for i in 1 2 3; do
		database_start "$i" "$@"
	done
	write_document "$filter"
	wait_for env PW_STORE=127.0.0.1:$base_port PW_SERVICE=example "$build/ctl/pimentowingctl" \
		apply "$out_dir/$scenario_name/document.json"
	for ((i = 1; i <= count; i++)); do
		proxy_start "$i"
	done
	fleet_wait "$count"
}

# Prints the sum of a counter over the proxies 1 to COUNT: COUNT NAME
sum_counter() {
	local i
	for ((i = 1; i <= $1; i++)); do
		curl -fsS -H "Authorization: Bearer $api_token" "http://127.0.0.1:$((base_port + 80 + i))/metrics"
	done | awk -v name="pimentowing_$2" '$1 == name { sum += $2 } END { printf "%d\n", sum }'
}

# Injects a fault into a stand-in server: PORT FAULT VALUE
server_fault() {
	PGPASSWORD=control-secret PGCONNECT_TIMEOUT=2 psql -qAt \
		"host=127.0.0.1 port=$1 user=control dbname=x" \
		-c "SELECT * FROM pw_fault('$2', '$3')" >/dev/null
}

# Sends a control request to the stand-in store: PATH BODY
store_post() {
	curl -fsS "http://127.0.0.1:$base_port$1" -d "$2"
}

# Prints the fields of --group for callers through proxies: ACCOUNT DATABASE "PROXY ..." OTHER_FIELDS
group_via_proxies() {
	local key addresses="" i
	key=$(awk -v account="$1" '$1 == account { print $2 }' docs/example-keys.txt)
	for i in $3; do
		addresses+="+127.0.0.1:$((base_port + 40 + i))"
	done
	echo "account=$1,key=$key,database=$2,address=${addresses:1},$4"
}

# Prints the fields of --group for callers that connect to a server directly: NAME PORT OTHER_FIELDS
group_direct() {
	echo "name=$1,account=proxy,key=proxy-secret,database=orders,address=127.0.0.1:$2,$3"
}

# Runs the load tool: RESULT DURATION_MS ARGUMENTS...
run_load() {
	local result=$out_dir/$scenario_name/$1.json duration_ms=$2
	shift 2
	"$build/bench/load" --seed "$seed" --duration-ms "$duration_ms" "$@" >"$result"
}

# Adds a row to the table: MEASURE CASE VALUE UNIT HOW
add_row() {
	jq -cn --arg measure "$1" --arg case "$2" --argjson value "$3" --arg unit "$4" --arg how "$5" \
		'{$measure, $case, $value, $unit, $how}' >>"$out_dir/$scenario_name/rows.jsonl"
}

# Prints the value of a jq filter on a result of the load tool: RESULT FILTER
result_value() {
	jq -c "$2" "$out_dir/$scenario_name/$1.json"
}

# Evaluates an arithmetic expression to four significant digits: EXPRESSION
evaluate() {
	awk "BEGIN { printf \"%.4g\", $1 }"
}
