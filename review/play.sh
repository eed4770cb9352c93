#!/bin/sh
# Plays a case of the review: play.sh NAME FOLDER. It starts the stand-in and three entry VMs as
# processes, waits for the stand-in's verdict and ends all of them.
set -u
cd "$(dirname "$0")/.."
[ -x target/pumicestaged ] && [ -x target/review-standin ] || { echo "build first: the command of deploy/system.toml, review/build.sh" >&2; exit 2; }
dir=$(mktemp -d) || exit 2
pids=
finish() {
	for pid in $pids; do kill -9 "$pid" 2>/dev/null; done
	rm -rf "$dir"
}
trap finish EXIT
trap 'exit 2' INT TERM
target/review-standin -case "$1" -dir "$dir" -template deploy/settings.ini.tmpl -record "$2/record.txt" &
standin=$!
pids=$standin
n=0
until [ -e "$dir/ready" ]; do
	n=$((n + 1))
	[ "$n" -lt 100 ] || exit 2
	sleep 0.1
done
for i in 0 1 2; do
	PUMICESTAGE_NODE_FILE="$dir/entry-$i.ini" target/pumicestaged >"${REVIEW_LOGS:-$dir}/entry-$i.log" 2>&1 &
	pids="$pids $!"
done
wait "$standin"
status=$?
case $status in 0 | 1) ;; *) status=2 ;; esac
exit $status
