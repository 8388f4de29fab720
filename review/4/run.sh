#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
exec node "$(dirname "$0")/run.mjs"
