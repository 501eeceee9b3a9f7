#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/13 start, into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_standin-3
