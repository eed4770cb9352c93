#!/bin/sh
# Runs a case of the third review: sh review/run-3.sh CASE FOLDER. It starts the stand-in and two entry VMs as
# separate processes, starts a daemon that ended by itself again as the platform does, ends all of them, and
# exits with the stand-in's status.
set -u
cd "$(dirname "$0")/.."
case=$1 folder=$2
dir=$(mktemp -d) || exit 2

# slot runs the daemon of entry VM $1, again and again until "stop" is there.
slot() {
	until [ -e "$dir/stop" ]; do
		PUMICESTAGE_NODE_FILE="$dir/settings-$1.ini" target/pumicestaged >>"$dir/log-$1" 2>&1 &
		echo $! >"$dir/pid-$1"
		wait $!
		status=$?
		[ -e "$dir/stop" ] || echo "$status" >>"$dir/ends-$1"
		sleep 0.2
	done
}

target/review-twin "$case" "$dir" "$folder/record.txt" &
twin=$!
(sleep "${LIMIT:-110}"; kill $twin 2>/dev/null) &
guard=$!
n=0
until [ -e "$dir/settings-1.ini" ] || [ $n -ge 100 ]; do
	sleep 0.1
	n=$((n + 1))
done
slot 0 &
first=$!
slot 1 &
second=$!
wait $twin
result=$?
: >"$dir/stop"
for i in 0 1; do
	kill "$(cat "$dir/pid-$i")" 2>/dev/null
done
(sleep 7; for i in 0 1; do kill -9 "$(cat "$dir/pid-$i")" 2>/dev/null; done) & # as the platform does after grace-s
killer=$!
wait $first $second
kill $killer 2>/dev/null
kill $guard 2>/dev/null
for i in 0 1; do
	echo "entry VM $i: ended by itself $(cat "$dir/ends-$i" 2>/dev/null | wc -l) times" >>"$folder/record.txt"
	grep -h -A 12 -m 1 '^panic:' "$dir/log-$i" 2>/dev/null | sed "s|$PWD/||; s|/[^ ]*/src/||" >>"$folder/record.txt"
done
[ -z "${KEEP:-}" ] || cp "$dir"/log-* "$KEEP"/
rm -r "$dir"
[ $result -le 2 ] || result=2
exit $result
