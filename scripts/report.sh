#!/usr/bin/env bash
# Measures both deployments and writes docs/report: cache reuse through churn, load
# skew, control traffic, and service while a zone leaves and returns.
# Usage: scripts/report.sh [INPUT_DIR]
# The raw outputs are written to INPUT_DIR, by default a temporary directory. Exit
# status: 1 if a measurement fails or an answer violates a guarantee; the page then
# still shows the results.
set -u
cd "$(dirname "$0")/.." || exit 2
go=${GO:-go}
in=${1:-$(mktemp -d)}
mkdir -p "$in" docs/report
status=0

# bench NAME PACKAGE PATTERN runs the benchmarks that match PATTERN once and writes their
# output to NAME.txt.
bench() {
  timeout 300 "$go" test "./internal/$2" -run XXX -bench "$3" -benchtime 1x >"$in/$1.txt" 2>&1 || status=1
}

{
  printf 'Measured %s on %s cores, load %s, by `make report`.\n' "$(date -u +%FT%TZ)" "$(nproc)" "$(cut -d' ' -f1 /proc/loadavg)"
  printf 'Stand-in engines on loopback for the zones; seeded simulations on virtual time for the rest.\n'
} >"$in/head.md"
bench reuse placement 'Reuse$'
bench ways admission 'Strategies$'
for site in dala-press lamphun; do
  SECONDS_OF_LOAD=${SECONDS_OF_LOAD:-60} scripts/maintenance.sh zone "$site" >"$in/zone-$site.txt" 2>&1 || status=1
done
"$go" run ./internal/report/reportgen "$in" docs/report || status=1
exit $status
