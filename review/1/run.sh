#!/bin/sh
# Plays the case and writes record.txt beside this file. Exit: 1 the rule was broken, 0 it held, 2 it
# couldn't run. TROUBLE=0 plays it without the disruption. Build first: the command of
# deploy/system.toml, then review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec sh "$here/../play.sh" closed "$here"
