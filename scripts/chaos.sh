#!/usr/bin/env bash
# Runs the demonstration fleet under load while processes are killed, frozen and
# restarted, and checks every answer: no key runs twice, no answer is incomplete,
# misdelivered or different from the key's first answer, and no request that is
# reported as not run has run. The seed determines which process fails, how and for
# how long. Its timing relative to the requests differs between runs.
# Usage: scripts/chaos.sh [SEED [SECONDS [BOOKING_SHARE [RATE]]]]   (default 1, 60 s,
# bookings only, 60 requests a second)
# ENTRIES lists the numbers of the routers that callers use, default all. If it is
# set, only the other routers fail, since a killed router cuts the streams of its
# callers. REPEATS and LOOKUPS are passed to the load tool. WARM_UP is the time in
# seconds before the load starts, default 5. NO_FAULTS runs without faults, KEEP_LOGS
# keeps the logs, and NETWORK, such as 127.41, sets the loopback network.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
seed=${1:-1}
seconds=${2:-60}
bookings=${3:-1}
rate=${4:-60}
entries=${ENTRIES:-1 2 3}
data=$(mktemp -d)
. "$root/scripts/lib.sh"
[ -x "$bin" ] || { echo "no $bin: run make build first" >&2; exit 2; }
frozen=
# finish ends all processes, a frozen one included, and removes the data directory.
finish() {
  [ -n "$frozen" ] && kill -CONT "$frozen" 2>/dev/null
  stop_all
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs in $data/log"; else rm -rf "$data"; fi
}
trap finish EXIT
trap 'exit 1' INT TERM

# Runs a copy of the example on its own addresses, whose plan has limits that the load
# doesn't reach.
NETWORK=${NETWORK:-$(own_network)}
example=$(localize "$root/examples/demo")
sed -i -e 's/requests_per_second: .*/requests_per_second: 5000/' -e 's/burst: .*/burst: 5000/' \
  -e 's/concurrency: 200/concurrency: 2000/' -e 's/tokens_per_minute: .*/tokens_per_minute: 600000000/' \
  "$example/plans.yaml"

# index NAME prints the index of the process with this name in pids and names.
index() {
  local i
  for i in "${!pids[@]}"; do
    [ "${names[i]}" = "$1" ] && { echo "$i"; return; }
  done
}

# remove INDEX removes a process that has ended from both pids and names.
remove() {
  local i kept_pids=() kept_names=()
  for i in "${!pids[@]}"; do
    [ "$i" = "$1" ] && continue
    kept_pids+=("${pids[i]}")
    kept_names+=("${names[i]}")
  done
  pids=("${kept_pids[@]}")
  names=("${kept_names[@]}")
}

# restart NAME SIGNAL ends an Instance with a signal and starts it again, as a
# supervisor does, up to 10 times while it ends within 0.5 s. Each start has its own
# log file.
restart() {
  local i pid attempt
  i=$(index "$1")
  pid=${pids[i]}
  kill "-$2" "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
  remove "$i"
  for ((attempt = 0; attempt < 10; attempt++)); do
    mv "$data/log/$1.log" "$data/log/$1.$(date +%s%N).log"
    start_instances "$example" "$1.yaml"
    sleep 0.5
    i=$(index "$1")
    kill -0 "${pids[i]}" 2>/dev/null && return
    echo "  $1 ended within 0.5 s of its restart; last line of its log: $(tail -1 "$data/log/$1.log")"
    remove "$i"
  done
}

# freeze NAME SECONDS suspends a process with SIGSTOP, and continues it after SECONDS.
freeze() {
  frozen=${pids[$(index "$1")]}
  kill -STOP "$frozen" 2>/dev/null
  sleep "$2"
  kill -CONT "$frozen" 2>/dev/null
  frozen=
}

# candidates are the routers that may fail.
candidates=()
for r in 1 2 3; do
  [[ -z ${ENTRIES:-} || " $entries " != *" $r "* ]] && candidates+=("$r")
done

# fault injects the next fault of the sequence that the seed determines, and prints it.
# It returns once the process runs again.
fault() {
  local router=router-${candidates[RANDOM % ${#candidates[@]}]} control=control-$((RANDOM % 3 + 1)) counter=counter-$((RANDOM % 2 + 1))
  local time=$((RANDOM % 8 + 1))
  case $((RANDOM % 7)) in
    0) echo "kill $router" && restart "$router" KILL ;;
    1) echo "stop and start $router" && restart "$router" TERM ;;
    2) echo "freeze $router for $time s" && freeze "$router" "$time" ;;
    3) echo "kill $control" && restart "$control" KILL ;;
    4) echo "freeze $control for $time s" && freeze "$control" "$time" ;;
    5) echo "freeze $counter for $time s" && freeze "$counter" "$time" ;;
    6) echo "kill $router and $control" && restart "$router" KILL && restart "$control" KILL ;;
  esac
}

start_fleet "$example" || exit 1
targets=$(for r in $entries; do echo "http://$(setting "$example/router-$r.yaml" callers)"; done | paste -sd,)
runs=$(upstreams "$example/platform.yaml" | awk '$2 == "counter" { print "http://" $3 }' | paste -sd,)
sleep "${WARM_UP:-5}"
"$bin" load --target "fleet=$targets" --keys demo-workspace --model care-notes --service counter \
  --bookings "$bookings" --repeats "${REPEATS:-2}" --lookups "${LOOKUPS:-0}" --runs "$runs" --rate "$rate" --duration "${seconds}s" --timeout 30s \
  --seed "$seed" >"$data/report" 2>&1 &
load=$!
RANDOM=$seed
end=$((SECONDS + seconds - 5))
faults=0
while [ "$SECONDS" -lt "$end" ] && [ -z "${NO_FAULTS:-}" ]; do
  fault
  faults=$((faults + 1))
  sleep "$((RANDOM % 3 + 1))"
done
wait "$load"
status=$?
cat "$data/report"
echo "seed $seed: $faults faults in $seconds s, exit $status"
exit "$status"
