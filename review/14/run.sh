#!/bin/sh
# Sends requests with a deadly part of their prompt beside sound ones; the IDs of parts have 128 bits.
# TROUBLE=0 sends no deadly part. DIGITS=8 gives IDs of the length of the pages' example.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standins ] && [ -x target/wigeonflow ] || { echo "build first: the deploy file, then review/build-3.sh"; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-3/standins -mode part -cores 3 -fronts 4 -block "${BLOCK:-78}" -digits "${DIGITS:-32}" \
	-trouble="$trouble" -record review/14/record.txt
