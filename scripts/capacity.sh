#!/usr/bin/env bash
# Measures the unit costs that docs/CAPACITY.md is calculated from, one benchmark
# at a time, and prints them as Markdown tables. It takes about three minutes once
# the tests are built.
#   scripts/capacity.sh
# SECONDS_MAX bounds each call of go test in seconds, default 120; GO names the go
# command. Exit status: 1 if a call fails or its output has no measurement.
set -u
cd "$(dirname "$0")/.." || exit 2
go=${GO:-go}
limit=${SECONDS_MAX:-120}
status=0

# measure TITLE PACKAGE FLAGS... runs tests or benchmarks of a package and prints
# their measurements: benchmark results as table rows, log lines as list items.
measure() {
  local title=$1 package=$2 out rows
  shift 2
  printf '\n### %s\n\n`go test ./internal/%s%s`\n\n' "$title" "$package" "$(printf " '%s'" "$@")"
  if ! out=$(timeout "$limit" "$go" test "./internal/$package" -count 1 "$@" 2>&1); then
    echo "FAILED:"
    tail -n 20 <<<"$out"
    status=1
    return
  fi
  rows=$(rows_of "$out")
  if [ -z "$rows" ]; then
    echo "FAILED: the output of ./internal/$package has no measurement"
    status=1
    return
  fi
  echo "$rows"
}

# rows_of OUTPUT prints the measurements in a test's output as Markdown: benchmark
# results, the lines that end in "breaches", which BenchmarkUsableShare prints itself,
# and log lines.
rows_of() {
  awk '
    /^Benchmark[^ \t]*[ \t]+[0-9]+[ \t]/ {
      name = $1
      sub(/^Benchmark/, "", name)
      sub(/-[0-9]+$/, "", name)
      line = ""
      for (i = 3; i < NF; i += 2) line = line (line == "" ? "" : ", ") $i " " $(i + 1)
      if (!head++) print "| benchmark | measured |\n|---|---|"
      printf "| %s | %s |\n", name, line
      next
    }
    /% +[0-9]+ B +[0-9]+ breaches$/ { print "- " $0; next }
    /^[ \t]+[a-z_]+_test\.go:[0-9]+:/ {
      sub(/^[ \t]+[a-z_]+_test\.go:[0-9]+:[ \t]*/, "")
      print "- " $0
    }' <<<"$1"
}

# bench TITLE PACKAGE PATTERN FLAGS... runs the benchmarks that match PATTERN.
bench() {
  measure "$1" "$2" -run XXX -bench "$3" -benchmem "${@:4}"
}

printf 'Measured %s on %s cores, load %s before.\n' "$(date -u +%FT%TZ)" "$(nproc)" "$(cut -d' ' -f1-3 /proc/loadavg)"
measure "Leases: encoded sizes" session -run EncodedSizes -v
bench "Leases: processor time" session 'Renew|Tick|Owns' -benchtime 100ms
measure "Lists: encoded sizes and memory" operator -run 'EncodedSizes|Memory' -v
bench "Lists: processor time" operator . -benchtime 10x
bench "Idle control members, as processes" control MemberAtRest -benchtime 1x
measure "Control group with a fleet of routers" control -run TestFleet -v -fleet 3,50,200,400 -rest 5s
bench "Log: heartbeats between members" consensus Idle -benchtime 1x
bench "Log: time without a leader" consensus LeaderGap/heartbeat-250ms -benchtime 500x
bench "Owner: candidates, owners, epochs" placement 'Candidates|Owner|NextTable' -benchtime 100ms
bench "Owner: recorded chats" placement Resident -benchtime 20000x
bench "Owner: admission" admission AdmitDone -benchtime 100ms
bench "Plan home: the usage record of a plan" plan UsageRecordMemory -benchtime 1x
bench "Plan home: the plans that a router stores" plan PlansMemory -benchtime 1x
bench "Plan home: a grant" plan Borrow -benchtime 2000x
bench "Answers: a token" answer TokenEvent -benchtime 10000x
bench "Answers: an open stream" answer StreamMemory -benchtime 1x
bench "Mesh: a message" mesh StreamMessage -benchtime 10000x
bench "Mesh: idle connections" mesh ConnectionMemory -benchtime 1x
bench "Platform's upstream list" upstream InstanceList -benchtime 20x
bench "Ledger: a booking, a record, a snapshot" ledger . -benchtime 100x
bench "Plan home: bytes of grants for each request" plan UsableShare -benchtime 1x
exit $status
