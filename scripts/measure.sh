#!/usr/bin/env bash
# Measures the overhead of routers on loopback, with stand-in engines.
#   scripts/measure.sh path [load flags]   one engine directly, through its owner, and through an
#                                          entry router and its owner, in one run
#   scripts/measure.sh peak [load flags]   the Dala Press example at a tenth of the design's peak
#   scripts/measure.sh zone [load flags]   the Lamphun example while a zone is out of service
# DATA sets the data directory and keeps it; STEP is the duration of a decode step;
# NETWORK, such as 127.41, sets the loopback network; by default each run uses its own.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
what=${1:-}
shift
data=${DATA:-$(mktemp -d)}
mkdir -p "$data"
. "$root/scripts/lib.sh"
finish() {
  stop_all
  [ -n "${DATA:-}" ] || rm -rf "$data"
}
trap finish EXIT
trap 'exit 1' INT TERM
[ -x "$bin" ] || { echo "no $bin: run make build first" >&2; exit 2; }

engines=6
NETWORK=${NETWORK:-$(own_network)}
network=$NETWORK

# path_example writes an example with two routers and one model for each engine, so
# that the model determines the engine and thereby its owner. It prints the directory.
path_example() {
  local dir=$data/example i digest operator
  mkdir -p "$dir"
  digest=$(printf path-workspace | sha256sum | cut -d' ' -f1)
  operator=$(printf path-operator | sha256sum | cut -d' ' -f1)
  for i in 1 2; do
    cat >"$dir/router-$i.yaml" <<YAML
instance: router-$i
zone: path
roles: [router]
listen:
  callers: $network.1.1$i:8080
  mesh: $network.1.1$i:7400
control:
  members: ["$network.1.1:7400"]
platform:
  url: http://$network.0.1:9200
fleet_secret_file: fleet.secret
YAML
  done
  cat >"$dir/control-1.yaml" <<YAML
instance: control-1
zone: path
roles: [control]
listen:
  operators: $network.1.1:8090
  mesh: $network.1.1:7400
control:
  members: ["$network.1.1:7400"]
data_dir: state/control-1
fleet_secret_file: fleet.secret
operators:
  - name: path
    key_digests: [$operator]
YAML
  echo "The operators' key is path-operator." >"$dir/README.md"
  cat >"$dir/plans.yaml" <<YAML
plans:
  - name: path
workspaces:
  - id: path
    plan: path
    key_digests: [$digest]
YAML
  {
    echo "instances:"
    for ((i = 1; i <= engines; i++)); do
      echo "  - {id: engine-$i, pool: pool-$i, addr: \"$network.2.$i:9000\", zone: path}"
    done
  } >"$dir/platform.yaml"
  {
    echo "pools:"
    for ((i = 1; i <= engines; i++)); do
      printf '  - name: pool-%d\n    kind: engine\n    load_factor: 4\n    max_concurrency: 512\n    start_concurrency: 512\n' "$i"
    done
    echo "models:"
    for ((i = 1; i <= engines; i++)); do
      printf '  - name: model-%d\n    pool: pool-%d\n' "$i" "$i"
    done
    printf 'plans:\n  - plan: path\n    models: [%s]\n' "$(seq -s ', ' -f 'model-%g' "$engines")"
  } >"$dir/allowances.yaml"
  echo "$dir"
}

# owned_by ROUTER prints the number of an engine that the router owns.
owned_by() {
  WIGEONFLOW_OPERATOR_KEY=path-operator "$bin" get --control $network.1.1:8090 upstreams |
    awk -v router="$1" '$5 == router { sub("engine-", "", $1); print $1; exit }'
}

# measure_path compares one engine's streams directly, through its owner, and through
# both routers.
measure_path() {
  local dir n
  dir=$(path_example)
  start_fleet "$dir" || return 1
  n=$(owned_by router-1)
  [ -n "$n" ] || { echo "router-1 owns none of the $engines engines" >&2; return 1; }
  "$bin" load --keys path-workspace --model "model-$n" \
    --direct "direct=http://$network.2.$n:9000" \
    --target "one-router=http://$network.1.11:8080" \
    --target "two-routers=http://$network.1.12:8080" \
    --metrics http://$network.1.11:8080,http://$network.1.12:8080 \
    --concurrency 24 --chats 48 --warmup 3s --duration 20s --answer-tokens 100 "$@"
}

# measure_peak loads all routers of the Dala Press example with 305 requests a second.
measure_peak() {
  local dir file urls= keys runs engines
  dir=$(localize "$root/examples/dala-press")
  start_fleet "$dir" || return 1
  for file in "$dir"/router-*.yaml; do
    urls+=,http://$(setting "$file" callers)
  done
  keys=$(grep -oE '`dala-[a-z-]+-demo`' "$dir/README.md" | tr -d '`' | grep -v operator | head -3 | paste -sd,)
  runs=$(upstreams "$dir/platform.yaml" | awk '$2 == "counter" { printf "%shttp://%s", sep, $3; sep = "," }')
  engines=$(upstreams "$dir/platform.yaml" | awk '$2 == "language" { printf "%shttp://%s", sep, $3; sep = "," }')
  "$bin" load --keys "$keys" --model care-notes --target "fleet=${urls#,}" --service counter --runs "$runs" --engines "$engines" \
    --lookups 0.05 --bookings 0.05 --rate 305 --max-in-flight 900 --chats 2000 --warmup 10s --duration 20s \
    --answer-tokens 220 "$@"
}

# requests_in ZONE PLATFORM_FILE prints how many requests the upstreams of a zone
# have received.
requests_in() {
  local addr n=0
  while read -r addr; do
    n=$((n + $(curl -sS "http://$addr/standin/stats" | sed -n 's/.*"requests":\([0-9]*\).*/\1/p')))
  done < <(sed -n "s/.*addr: \"\([^\"]*\)\", zone: $1}.*/\1/p" "$2")
  echo "$n"
}

# zone_state out|in ZONE EXAMPLE_DIR takes a zone out of service or returns it.
zone_state() {
  WIGEONFLOW_OPERATOR_KEY=$(operator_key "$3") "$bin" zone "$1" --control "$(operators "$3")" "$2" >/dev/null
}

# In seconds: the zone goes out of service $before after the load has started and
# returns $out later. From $settle after it went out, it must receive no requests.
before=14
settle=4
out=12

# measure_zone takes a zone of the Lamphun example out of service under load. It fails if
# the load tool does, or if the zone receives requests while it is out.
measure_zone() {
  local dir zone=lp-mueang file urls= keys runs loading early late back
  dir=$(localize "$root/examples/lamphun")
  start_fleet "$dir" || return 1
  for file in "$dir"/router-*.yaml; do
    urls+=,http://$(setting "$file" callers)
  done
  keys=$(grep -oE '`lamphun-[a-z-]+-demo`' "$dir/README.md" | tr -d '`' | grep -v operator | head -3 | paste -sd,)
  runs=$(upstreams "$dir/platform.yaml" | awk '$2 == "ledger" { printf "%shttp://%s", sep, $3; sep = "," }')
  "$bin" load --keys "$keys" --model rite-plans --target "fleet=${urls#,}" --service dispatch --runs "$runs" \
    --booking-path /dispatches --lookups 0.2 --bookings 0.1 --rate 30 --chats 200 --warmup 10s --duration 30s \
    --answer-tokens 120 "$@" &
  loading=$!
  sleep $before
  zone_state out $zone "$dir" || return 1
  sleep $settle
  early=$(requests_in $zone "$dir/platform.yaml")
  sleep $((out - settle))
  late=$(requests_in $zone "$dir/platform.yaml")
  zone_state in $zone "$dir" || return 1
  wait $loading
  loading=$?
  back=$(requests_in $zone "$dir/platform.yaml")
  echo "zone $zone received $early requests until $settle s after it went out of service, $((late - early)) more until it returned (bound 0), $((back - late)) since"
  [ $((late - early)) -eq 0 ] && return $loading
  return 1
}

case $what in
path) measure_path "$@" ;;
peak) measure_peak "$@" ;;
zone) measure_zone "$@" ;;
*)
  sed -n '2,9s/^# \?//p' "$0"
  exit 2
  ;;
esac
