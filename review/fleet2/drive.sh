#!/bin/sh
# Plays a case: drive.sh CASE FOLDER. It starts the stand-ins and four entry VMs, as processes, waits
# for the stand-ins' verdict and ends all of them. An entry VM that ends is started again 0.1 s later.
# The record is FOLDER/record.txt.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: no disruption.
set -u
case=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
stage=target/review-2/fleet2
daemon=target/pumicestaged
for p in "$stage" "$daemon"; do
	[ -x "$p" ] || { echo "$p is not built" >&2; exit 2; }
done
trouble=true
[ "${TROUBLE:-1}" != 0 ] || trouble=false
tmp=$(mktemp -d) || exit 2
stage_pid=
supervisors=

# supervise keeps the daemon with the settings file $1 running; its process ID is in $2.
supervise() {
	until [ -e "$tmp/stop" ]; do
		PUMICESTAGE_NODE_FILE="$1" "$daemon" >>"$1.log" 2>&1 &
		echo $! >"$2"
		{ wait $!; } 2>/dev/null
		rm -f "$2"
		sleep 0.1
	done
}

# finish ends what was started here and nothing else.
finish() {
	: >"$tmp/stop"
	[ -z "$stage_pid" ] || kill -9 "$stage_pid" 2>/dev/null
	for s in $supervisors; do
		while kill -0 "$s" 2>/dev/null; do
			for pid in "$tmp"/*.pid; do
				[ ! -e "$pid" ] || kill -9 "$(cat "$pid")" 2>/dev/null
			done
			sleep 0.05
		done
	done
	[ -z "${KEEP_LOGS:-}" ] || cp "$tmp"/*.log "$KEEP_LOGS"/
	rm -rf "$tmp"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$stage" -case "$case" -dir "$tmp" -record "$folder/record.txt" -trouble=$trouble &
stage_pid=$!
n=0
until [ -e "$tmp/ready" ]; do
	n=$((n + 1))
	[ "$n" -lt 200 ] || exit 2
	sleep 0.05
done
for settings in "$tmp"/e*.ini; do
	supervise "$settings" "${settings%.ini}.pid" &
	supervisors="$supervisors $!"
done
wait "$stage_pid"
code=$?
stage_pid=
echo "case $case, disruption $trouble: exit $code"
exit "$code"
