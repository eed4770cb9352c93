#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: no disruption.
exec sh "$(dirname "$0")/../fleet2/drive.sh" advice "$(dirname "$0")"
