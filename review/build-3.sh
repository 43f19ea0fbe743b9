#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/cases ./review/standin-3
