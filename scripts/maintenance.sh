#!/usr/bin/env bash
# Performs planned operations on an example under load and checks every answer.
# Usage: scripts/maintenance.sh restart|zone [EXAMPLE [RATE]]   (default dala-press, 40 requests a second)
#   restart  stops and starts every Instance in turn, and prints how long it took
#   zone     takes the availability zone of router-1 out of service for 15 s, twice
# Requests go to the routers that answer /readyz, as through a load balancer.
# SECONDS_OF_LOAD is the duration of the load, default 100; REPEATS is passed to the
# load tool; KEEP_LOGS keeps the logs; NETWORK, such as 127.41, sets the loopback
# network, by default each run uses its own.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
what=${1:?usage: scripts/maintenance.sh restart|zone [EXAMPLE [RATE]]}
example=$root/examples/${2:-dala-press}
rate=${3:-40}
data=$(mktemp -d)
. "$root/scripts/lib.sh"
finish() {
  stop_all
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs in $data/log"; else rm -rf "$data"; fi
}
trap finish EXIT
trap 'exit 1' INT TERM
[ -x "$bin" ] || { echo "no $bin: run make build first" >&2; exit 2; }
NETWORK=${NETWORK:-$(own_network)}
example=$(localize "$example")
export WIGEONFLOW_OPERATOR_KEY
WIGEONFLOW_OPERATOR_KEY=$(operator_key "$example")
control=$(for f in "$example"/control-*.yaml; do setting "$f" operators; done | paste -sd,)

# restart_in_turn stops each Instance with SIGTERM and starts it again once it has
# ended. It waits until the Instance is ready before it stops the next one.
restart_in_turn() {
  local file name i
  for file in "$example"/router-*.yaml "$example"/control-*.yaml; do
    name=$(setting "$file" instance)
    for i in "${!pids[@]}"; do
      [ "${names[i]}" = "$name" ] || continue
      kill -TERM "${pids[i]}"
      wait "${pids[i]}" || { echo "$name exited with an error after SIGTERM; the end of its log:"; tail -3 "$data/log/$name.log"; }
      unset "pids[i]"
    done
    start_instances "$example" "$(basename "$file")"
    case $name in
      router-*) await "http://$(setting "$file" callers)/readyz" || return 1 ;;
      *) await "http://$(setting "$file" operators)/healthz" || return 1 ;;
    esac
  done
}

# zone_cycle takes the zone of router-1 out of service and returns it after 15 s.
zone_cycle() {
  local zone
  zone=$(setting "$example/router-1.yaml" zone)
  "$bin" zone out --control "$control" "$zone" || return 1
  sleep 15
  "$bin" zone in --control "$control" "$zone"
}

start_fleet "$example" || exit 1
urls=$(for f in "$example"/router-*.yaml; do echo "http://$(setting "$f" callers)"; done | paste -sd,)
keys=$(grep -oE '`[a-z]+-[a-z-]+-demo`' "$example/README.md" | tr -d '`' | grep -v operator | head -3 | paste -sd,)
runs=$(upstreams "$example/platform.yaml" | awk '$2 != "language" { printf "%shttp://%s", sep, $3; sep = "," }')
service=$(awk '$1 == "services:" { on = 1 } on && $2 == "name:" { print $3; exit }' "$example/allowances.yaml")
model=$(awk '$1 == "models:" { on = 1 } on && $2 == "name:" { print $3; exit }' "$example/allowances.yaml")
seconds=${SECONDS_OF_LOAD:-100}
"$bin" load --target "fleet=$urls" --balance --keys "$keys" --model "$model" --service "$service" --runs "$runs" \
  --bookings 0.1 --repeats "${REPEATS:--1}" --lookups 0.1 --rate "$rate" --warmup 10s --duration "${seconds}s" --chats 300 \
  --answer-tokens 100 >"$data/report" 2>&1 &
load=$!
sleep 12
begun=$SECONDS
case $what in
restart) restart_in_turn ;;
zone) zone_cycle && sleep 10 && zone_cycle ;;
esac
echo "$what took $((SECONDS - begun)) s"
wait "$load"
status=$?
cat "$data/report"
exit "$status"
