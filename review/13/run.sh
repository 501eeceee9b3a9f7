#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wigeonflow ] && [ -x target/review-3 ] || { echo "build first: the deploy file's build line, review/build-3.sh"; exit 2; }
exec target/review-3 deadly-restart review/13/record.txt
