#!/bin/sh
# Builds the stand-ins of the scripts into review/bin.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
exec go build -buildvcs=false -o ../bin/standin .
