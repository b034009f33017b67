#!/usr/bin/env bash
# Acknowledged commits of a service with SyncReplicas 1: one replica receives nothing for 6 s, the
# other one crashes, the primary crashes, and all proxies are killed and start again.
# TROUBLE=0: the same without these.
set -u
HERE="$(cd "$(dirname "$0")" && pwd)"
source "$HERE/../common-2/fleet.sh"
fleet_start 3 "${CATALOGUE/\"SyncReplicas\":0/\"SyncReplicas\":1}"
fault lag 8
fault promotion-delay 300
begin=${EPOCHREALTIME/./}
# at MS: waits until so long after the beginning.
at() {
	local left=$(($1 - (${EPOCHREALTIME/./} - begin) / 1000))
	[ $left -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}
trouble() {
	[ "$TROUBLE" = 0 ] && return
	echo "$(((${EPOCHREALTIME/./} - begin) / 1000)) ms: $*" >>"$RECORD"
	shift
	"$@" || cannot "$*"
}
state() {
	echo "$(((${EPOCHREALTIME/./} - begin) / 1000)) ms: $("$BIN/tool" http GET "$PLATFORM" /state)" >>"$RECORD"
}
kill_proxies() {
	for i in 0 1 2; do kill -KILL "${VM_PID[i]}"; done
}
start_proxies() {
	for i in 0 1 2; do vm_start "$i"; done
}
trouble "replica i-core-2 receives nothing" fault deaf i-core-2
count=$("$BIN/7-commits" write "${VM_CALLER[0]}" 1500 "$RECORD") || cannot "the writer"
at 1800
state
trouble "replica i-core-3 crashes" fault crash i-core-3
at 5400
trouble "the entry of i-core-3 is removed, three heartbeats after its crash" fault gone i-core-3
trouble "the primary i-core-1 crashes" fault crash i-core-1
trouble "all proxies are killed" kill_proxies
at 6000
trouble "replica i-core-2 receives again" fault hearing i-core-2
at 6400
trouble "the proxies start again" start_proxies
for i in 0 1 2; do
	"$BIN/7-commits" call "${VM_CALLER[i]}" 8000 &
	echo "$!" >>"$WORK/pids"
	disown
done
at 8800
state
trouble "replica i-core-3 is back" fault start i-core-3
at 12400
trouble "i-core-1 is back" fault start i-core-1
at 15000
state
"$BIN/7-commits" check "${VM_CALLER[1]}" "$count" "$RECORD"
result=$?
[ $result -le 1 ] || cannot "the check ended with $result"
tail -n 1 "$RECORD"
exit $result
