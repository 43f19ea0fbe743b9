#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start, into target/.
set -e
cd "$(dirname "$0")/standin-2"
go build -buildvcs=false -o ../../target/review2 .
