#!/bin/sh
# Sends requests with a deadly part of their prompt beside sound ones; replicas end after the first events
# of their answer. TROUBLE=0 sends no deadly part. EVENTS=2 has them end after two events.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standins ] && [ -x target/wigeonflow ] || { echo "build first: the deploy file, then review/build-3.sh"; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-3/standins -mode part -cores 3 -fronts 4 -block "${BLOCK:-80}" -digits 8 -events "${EVENTS:-4}" \
	-trouble="$trouble" -record review/13/record.txt
