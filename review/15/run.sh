#!/usr/bin/env bash
# Plays the case "fails"; claim.txt says what it shows. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
member=target/citronknotd
cases=target/review-3/cases
if [ ! -x "$member" ] || [ ! -x "$cases" ]; then
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
fi
MEMBER="$member" exec "$cases" fails "$here/record.txt"
