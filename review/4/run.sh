#!/bin/sh
# Plays this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption, and has to pass.
TROUBLE=${TROUBLE:-1}
case $TROUBLE in
0 | 1) ;;
*) echo "TROUBLE has to be 0 or 1" >&2; exit 2 ;;
esac
cd "$(dirname "$0")/../.." || exit 2
[ -x target/citronknotd ] && [ -x review/bin/standin ] || { echo "build the system and review/build.sh first" >&2; exit 2; }
exec review/bin/standin newroute target/citronknotd review/4 "$TROUBLE"
