# The scenarios of bench/bench. Each adds rows to the table. "naive" marks the comparison without the
# proxy, or without the measured feature of the proxy. Comments on functions list the arguments after a
# colon.
# shellcheck shell=bash disable=SC2154

lags_ms="20 100 500"

# Sets the replication lag of both replicas of the first database: LAG_MS
set_lag() {
	server_fault $((base_port + 11)) lag_ms "$1"
	server_fault $((base_port + 12)) lag_ms "$1"
}

# M1, share of reads that replicas answer: CASE read|stale POSITION. Sends 15 writes/s and 150 reads/s on
# 30 connections. If POSITION is 1, callers send their last position token when they connect.
m1() {
	local lag replica_reads primary_reads n
	fleet_start 3 . --statement-us 1000
	for lag in $lags_ms; do
		set_lag "$lag"
		sleep 0.5
		replica_reads=$(sum_counter 3 reads_replica_total)
		primary_reads=$(sum_counter 3 reads_primary_total)
		run_load "lag-$lag" 4000 --group \
			"$(group_via_proxies amber orders "1 2 3" "connections=30,rate=165,$2=10,write=1,position=$3")"
		replica_reads=$(($(sum_counter 3 reads_replica_total) - replica_reads))
		primary_reads=$(($(sum_counter 3 reads_primary_total) - primary_reads))
		n=$((replica_reads + primary_reads))
		add_row M1 "$1, lag $lag ms" "$(evaluate "$replica_reads / ($n ? $n : 1)")" share \
			"$n reads by the proxies' counters"
		add_row M1 "$1, lag $lag ms, read p50 / p99" \
			"$(result_value "lag-$lag" ".groups.amber.latencies.$2 | [.p50_us, .p99_us]")" us \
			"load tool"
	done
}

# M1 with all reads sent to the primary.
m1_naive() {
	fleet_start 3 '(.routes[] | select(.kind == "read" and .access == "keyed"))
		|= (del(.stale_age_ms) + {kind: "write"})' --statement-us 1000
	set_lag 100
	run_load all 4000 --group \
		"$(group_via_proxies amber orders "1 2 3" "connections=30,rate=165,read=10,write=1")"
	add_row M1 "naive: all reads to the primary" \
		"$(evaluate "$(sum_counter 3 reads_replica_total) / $(result_value all .groups.amber.latencies.read.count)")" \
		share "all routes of kind write"
	add_row M1 "naive: all reads to the primary, p50 / p99" \
		"$(result_value all '.groups.amber.latencies.read | [.p50_us, .p99_us]')" us "same run"
}

# Makes a primary fail: PORT kill|pause|cut. "cut" cuts only its connections from the proxies.
m2_fault() {
	local primary_port=$1 i
	case $2 in
	kill) kill -KILL "${server_pid[$primary_port]}" ;;
	pause) kill -STOP "${server_pid[$primary_port]}" ;;
	cut)
		for i in 1 2 3; do
			server_fault "$primary_port" cut "vm-$i"
		done
		;;
	esac
}

# M2, longest gap between acknowledged writes after the primary fails: FAULT. One run for each of three
# databases with 200 writes/s; the fault is injected 1.5 s after the start of the measured interval.
m2() {
	local databases=(orders catalog billing) d gaps=() load_pid
	fleet_start 3 . --statement-us 1000 --lag-ms 20
	for d in 1 2 3; do
		run_load "run-$d" 7000 --group \
			"$(group_via_proxies amber "${databases[d - 1]}" "1 2 3" "connections=12,rate=200,write=1")" &
		load_pid=$!
		sleep 2
		m2_fault $((base_port + 10 * d)) "$1"
		wait "$load_pid"
		gaps+=("$(result_value "run-$d" .groups.amber.largest_write_gap_us)")
	done
	add_row M2 "$1 of the primary, median gap" \
		"$(printf '%s\n' "${gaps[@]}" | sort -n | awk 'NR == 2 { printf "%.3f", $1 / 1e6 }')" s \
		"three runs, one a database, 200 writes/s"
	add_row M2 "$1 of the primary, worst gap" \
		"$(printf '%s\n' "${gaps[@]}" | sort -n | awk 'END { printf "%.3f", $1 / 1e6 }')" s "same runs"
	add_row M2 "$1: failed by SQLSTATE, without answer" \
		"$(jq -cs '[.[].groups.amber] | {refusals: (map(.refusals | to_entries) | add
			| group_by(.key) | map({(.[0].key): (map(.value) | add)}) | add),
			unanswered: (map(.unanswered) | add)}' "$out_dir/$scenario_name"/run-?.json)" statements "same runs"
}

# M2 without the proxy.
m2_naive() {
	local load_pid
	database_start 1 --statement-us 1000 --lag-ms 20
	sleep 1
	run_load run 7000 --group "$(group_direct callers $((base_port + 10)) connections=12,rate=200,write=1)" &
	load_pid=$!
	sleep 2
	m2_fault $((base_port + 10)) kill
	wait "$load_pid"
	add_row M2 "naive: direct, primary killed, gap so far" \
		"$(evaluate "$(result_value run .groups.callers.largest_write_gap_us) / 1e6")" s \
		"callers of the primary's address; no recovery until the run ended"
}

# Prints the lowest share of offered operations that succeeded, over all accounts but birch: RESULT
min_served_share() {
	result_value "$1" '[.groups | to_entries[] | select(.key != "birch")
		| .value | .operations / .offered] | min | . * 10000 | round / 10000'
}

# M3, share of operations served to accounts within their rate while another account floods. birch may
# send 200/s and sends 2000/s; the others send 90% of their rates. Entries of m3_offered_rates are
# ACCOUNT:RATE_PER_S.
m3_offered_rates="cedar:180 delta:180 birch:2000 ember:90 fjord:90"

m3_rate() {
	local groups=() entry
	fleet_start 3 '(.accounts[] | select(.name | IN("birch", "cedar", "delta")))
			|= . + {rate_per_s: 200, burst: 200}
		| (.accounts[] | select(.name | IN("ember", "fjord")))
			|= . + {rate_per_s: 100, burst: 100}' --statement-us 2000 --lag-ms 20
	for entry in $m3_offered_rates; do
		groups+=(--group "$(group_via_proxies "${entry%:*}" orders "1 2 3" \
			"connections=$([[ $entry == birch* ]] && echo 60 || echo 6),rate=${entry#*:},read=8,write=2,position=1")")
	done
	run_load rate 8000 --warmup-ms 1500 "${groups[@]}"
	add_row M3 "rate limited, one sends ten times its rate" "$(min_served_share rate)" share \
		"worst operations / offered of four accounts"
	add_row M3 "rate limited: operations of the flooder" \
		"$(result_value rate '.groups.birch | .operations / 8 | round')" /s "its rate is 200/s"
}

# M3 in a database limited by slots: 3 slots and 5 ms for each write allow 600 writes/s. 64 connections
# of birch compete with three accounts that send 90/s each, below their fair shares of 150/s.
m3_slots() {
	local groups=() account
	fleet_start 3 . --statement-us 5000 --lag-ms 20
	for account in cedar delta ember; do
		groups+=(--group "$(group_via_proxies $account orders "1 2 3" connections=30,rate=90,write=1)")
	done
	run_load slots 8000 --warmup-ms 1500 "${groups[@]}" \
		--group "$(group_via_proxies birch orders "1 2 3" connections=64,write=1)"
	add_row M3 "database limited by slots, one floods" "$(min_served_share slots)" share \
		"worst operations / offered of three accounts, each below its fair share"
	add_row M3 "database limited by slots: write p50 / p99" \
		"$(result_value slots '.groups.cedar.latencies.write | [.p50_us, .p99_us]')" us "account cedar"
	add_row M3 "database limited by slots: flooder, all" \
		"$(result_value slots '[(.groups.birch.operations, .statements) / 8 | round]')" /s "of 600/s"
}

# Runs the load of m3_slots directly on a server: RESULT PORT
m3_naive_slots() {
	local groups=() account
	for account in cedar delta ember; do
		groups+=(--group "$(group_direct $account "$2" connections=30,rate=90,write=1)")
	done
	run_load "$1" 8000 --warmup-ms 1500 \
		--group "$(group_direct birch "$2" connections=64,write=1)" "${groups[@]}"
}

# M3 without the proxy.
m3_naive() {
	local groups=() entry account
	database_start 1 --statement-us 2000 --lag-ms 20 --max-connections 20
	database_start 2 --statement-us 5000 --lag-ms 20 --max-connections 20
	database_start 3 --statement-us 5000 --lag-ms 20 --max-connections 200
	sleep 1
	for entry in $m3_offered_rates; do
		groups+=(--group "$(group_direct "${entry%:*}" $((base_port + 10)) \
			"connections=$([[ $entry == birch* ]] && echo 60 || echo 6),rate=${entry#*:},read=8,write=2")")
	done
	run_load rate 8000 --warmup-ms 1500 "${groups[@]}"
	add_row M3 "naive: ten times its rate" "$(min_served_share rate)" share \
		"direct, --max-connections 20, taken in order of arrival"
	m3_naive_slots slots-20 $((base_port + 20)) &
	m3_naive_slots slots-200 $((base_port + 30))
	wait $!
	add_row M3 "naive: database limited by slots" "$(min_served_share slots-20)" share \
		"direct, --max-connections 20, the flooder connects first"
	add_row M3 "naive: slots, all callers connected" "$(min_served_share slots-200)" share \
		"direct, --max-connections 200; statements served in order of arrival"
}

# Adds the share of offered operations that were refused, over all groups: CASE RESULT HOW
m4_row() {
	add_row M4 "$1" "$(result_value "$2" '[.groups[]] | ([.[].refusals[]] | add // 0)
		/ ([.[].offered] | add) * 1e6 | round / 1e6')" share "$3"
	add_row M4 "$1: by SQLSTATE, unanswered, offered" \
		"$(result_value "$2" '[.groups[]] | {refusals: ([.[].refusals | to_entries[]] | group_by(.key)
			| map({(.[0].key): (map(.value) | add)}) | add // {}),
			unanswered: ([.[].unanswered] | add), offered: ([.[].offered] | add)}')" \
		statements "same run"
}

# M4, share of operations refused to an account that stays within its rate. cedar may send 600/s with
# burst 200 and sends 540/s, 80% of it to one proxy. delta, ember and fjord have a third of cedar's rate
# each; they represent equal static shares of cedar's rate, one account at each proxy.
m4() {
	local fields="read=8,write=2,position=1" skewed even static run
	fleet_start 3 '(.accounts[] | select(.name == "cedar")) |= . + {rate_per_s: 600, burst: 200}
		| (.accounts[] | select(.name | IN("delta", "ember", "fjord")))
			|= . + {rate_per_s: 200, burst: 67}' --statement-us 1000 --lag-ms 20
	skewed=(--group "name=skew,$(group_via_proxies cedar orders 1 "connections=60,rate=432,$fields")"
		--group "name=rest,$(group_via_proxies cedar orders "2 3" "connections=60,rate=108,$fields")")
	even=(--group "name=even,$(group_via_proxies cedar orders "1 2 3" "connections=120,rate=540,$fields")")
	static=(--group "$(group_via_proxies delta orders 1 "connections=60,rate=432,$fields")"
		--group "$(group_via_proxies ember orders 2 "connections=60,rate=54,$fields")"
		--group "$(group_via_proxies fjord orders 3 "connections=60,rate=54,$fields")")
	# 60 connections for each proxy: a refusal takes up to 100 ms, so that with fewer connections the
	# callers could not send at the intended rate.
	run_load healthy 5000 --warmup-ms 1500 "${skewed[@]}"
	m4_row "healthy, 80% at one of 3 proxies" healthy "540/s of 600/s"
	run_load static 4000 --warmup-ms 1500 "${static[@]}"
	m4_row "naive: static shares, healthy, 80% at one" static "an account of 200/s at each proxy"
	store_post /fault '{"mode": "down"}' >/dev/null
	run_load store-down 5000 --warmup-ms 1500 "${skewed[@]}"
	m4_row "store down, 80% at one of 3 proxies" store-down "540/s of 600/s"
	store_post /fault '{"mode": "ok"}' >/dev/null
	sleep 2
	run_load killed 8000 --warmup-ms 1500 "${even[@]}" &
	load_pid=$!
	sleep 3
	kill -KILL "${proxy_pid[3]}"
	wait "$load_pid"
	m4_row "a VM killed after 1.5 s" killed "540/s of 600/s, even; its callers go to the others"
	run_load static-killed 3000 --warmup-ms 1500 \
		--group "$(group_via_proxies delta orders 1 "connections=60,rate=270,$fields")" \
		--group "$(group_via_proxies ember orders 2 "connections=60,rate=270,$fields")"
	m4_row "naive: static shares, a VM lost" static-killed \
		"540/s on the two accounts of 200/s that are left"
}

# Prints the CPU time of the first process, and of all, in microseconds per statement: RESULT
cpu_per_statement() {
	result_value "$1" '[.processes[0].cpu_ms, ([.processes[].cpu_ms] | add)] | map(. * 1000)
		| . as $cpu | $cpu' | jq -c --argjson n "$(result_value "$1" .statements)" \
		'map(. / $n * 10 | round / 10)'
}

# Cost of the proxy: memory of a connection, latency, CPU time per statement and throughput.
cost() {
	local kind servers=() port primary_port
	fleet_start 1 '.databases[].servers[] |= . + {connections: 90, slots: 64}' \
		--slots 64 --max-connections 200
	primary_port=$((base_port + 10))
	for port in $((base_port + 10)) $((base_port + 11)) $((base_port + 12)); do
		servers+=(--pid "${server_pid[$port]}")
	done
	# This run comes first: after another load, the connections would reuse heap memory that this load
	# had freed, and RSS would not grow.
	run_load idle 500 --warmup-ms 4000 --pid "${proxy_pid[1]}" \
		--group "name=callers,$(group_via_proxies cedar orders 1 connections=5000)"
	add_row cost "memory of an idle caller connection" \
		"$(result_value idle '.processes[0] | (.rss_after_bytes - .rss_before_bytes) / 5000 | round')" B \
		"RSS over $(result_value idle .groups.callers.logins) logins; goal 8192"
	run_load fresh 1500 --pid "${proxy_pid[1]}" \
		--group "name=callers,$(group_via_proxies amber orders 1 "connections=8,read=1,position=1")"
	add_row cost "read before the first write of the database: p50" \
		"$(result_value fresh .groups.callers.latencies.read.p50_us)" us "8 closed-loop callers"
	add_row cost "read before the first write: CPU of the proxy" \
		"$(result_value fresh '.processes[0].cpu_ms / 15 | round')" "% of a core" "same run"
	for kind in write read stale; do
		run_load "$kind-direct" 2000 --pid "${server_pid[$primary_port]}" \
			--group "$(group_direct callers $primary_port "connections=8,$kind=1")"
		run_load "$kind-proxy" 2000 --pid "${proxy_pid[1]}" "${servers[@]}" \
			--group "name=callers,$(group_via_proxies amber orders 1 "connections=8,$kind=1,position=1")"
		add_row cost "$kind: p50 direct, through the proxy" \
			"[$(result_value "$kind-direct" ".groups.callers.latencies.$kind.p50_us"),$(result_value "$kind-proxy" ".groups.callers.latencies.$kind.p50_us")]" \
			us "8 closed-loop callers"
		add_row cost "$kind: p99 direct, through the proxy" \
			"[$(result_value "$kind-direct" ".groups.callers.latencies.$kind.p99_us"),$(result_value "$kind-proxy" ".groups.callers.latencies.$kind.p99_us")]" \
			us "same runs"
		add_row cost "$kind: p50 ratio to direct" \
			"$(evaluate "$(result_value "$kind-proxy" ".groups.callers.latencies.$kind.p50_us") / $(result_value "$kind-direct" ".groups.callers.latencies.$kind.p50_us")")" \
			ratio "same runs"
		add_row cost "$kind: CPU a statement, server alone" \
			"$(cpu_per_statement "$kind-direct" | jq '.[0]')" us "/proc, 10 ms ticks"
		add_row cost "$kind: CPU a statement, proxy, proxy + servers" \
			"$(cpu_per_statement "$kind-proxy")" us "same"
		add_row cost "$kind: CPU ratio to direct" \
			"$(evaluate "$(cpu_per_statement "$kind-proxy" | jq '.[1]') / $(cpu_per_statement "$kind-direct" | jq '.[0]')")" \
			ratio "same"
	done
	for kind in read stale write; do
		run_load "$kind-full" 2500 --pid "${proxy_pid[1]}" "${servers[@]}" \
			--group "name=callers,$(group_via_proxies amber orders 1 "connections=64,$kind=1,position=1")"
		add_row cost "$kind: statements/s, and for a core of the proxy" \
			"$(result_value "$kind-full" '[.statements / .seconds,
				.statements / (.processes[0].cpu_ms / 1000)] | map(round)')" /s \
			"64 closed-loop callers, one proxy of 2 + 2 traffic tasks"
	done
}

# Cost of idle proxies in fleets of 3 to 12: CPU time, memory, bytes to peers and store calls.
control_cost() {
	local n=0 target_count seconds=4 ticks bytes store_before rss stats=() p
	for target_count in 3 6 9 12; do
		if ((n == 0)); then
			fleet_start 3 . --lag-ms 20
		else
			for ((p = n + 1; p <= target_count; p++)); do
				proxy_start "$p"
			done
			fleet_wait "$target_count"
		fi
		n=$target_count
		sleep 1
		stats=()
		for ((p = 1; p <= n; p++)); do
			stats+=("/proc/${proxy_pid[$p]}/stat")
		done
		store_before=$(store_post /stats '{}')
		bytes=$(sum_counter "$n" peer_bytes_sent_total)
		ticks=$(awk '{ sub(/.*\) /, ""); sum += $12 + $13 } END { print sum }' "${stats[@]}")
		sleep $seconds
		ticks=$(($(awk '{ sub(/.*\) /, ""); sum += $12 + $13 } END { print sum }' "${stats[@]}") - ticks))
		rss=$(awk '{ sub(/.*\) /, ""); sum += $22 } END { print sum }' "${stats[@]}")
		bytes=$(($(sum_counter "$n" peer_bytes_sent_total) - bytes))
		add_row control "$n idle proxies: CPU of one" \
			"$(evaluate "$ticks * 100 / $(getconf CLK_TCK) / $seconds / $n")" "% of a core" \
			"9 servers probed by each proxy, heartbeats, store"
		add_row control "$n idle proxies: peer bytes of one" "$(evaluate "$bytes / $seconds / $n")" B/s \
			"counter peer_bytes_sent_total"
		add_row control "$n idle proxies: memory of one" \
			"$(evaluate "$rss * $(getconf PAGESIZE) / $n / 1048576")" MiB RSS
		add_row control "$n idle proxies: store calls, all proxies" \
			"$(store_post /stats '{}' | jq -c --argjson before "$store_before" --argjson s $seconds \
				'with_entries(if .key == "watches_open" then . else
					.value = (.value - ($before[.key] // 0)) / $s end)')" /s "POST /stats"
	done
}
