#!/bin/sh
# Makes the site file of our own from the users': site.sh FOLDER-OF-SITES NEW-FOLDER. Then, for
# instance: fleetbench run NEW-FOLDER/own.toml review/own/day-9027.toml --seed 9027 --no-cpu --why "..."
set -eu
cp "$1/wire.json" "$1/CUT" "$2/"
sed -e 's/gang = 0\.0/gang = 0.3/g; s/timed = 0\.0/timed = 0.4/g; s/near = 0\.0/near = 0.3/g' \
	-e 's/needs = 0\.0/needs = 0.3/g; s/saves = 0\.0/saves = 0.8/g' \
	-e 's/kinds = \["a"\]/kinds = ["a", "b"]/g; s/guards = true/guards = false/g' \
	"$1/ev-panelhost.toml" >"$2/own.toml"
