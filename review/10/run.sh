#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/wigeonflow ] && [ -x target/review-2/core ] || { echo "build first" >&2; exit 2; }
exec target/review-2/core deadly-restart "$here/record.txt"
