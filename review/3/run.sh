#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exit status: 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wigeonflow ] && [ -x review/bin/standins ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
exec review/bin/standins revoked review/3/record.txt
