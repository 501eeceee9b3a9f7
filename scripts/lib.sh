# Functions that start and stop the processes of a trial fleet on loopback. A script
# that sources this file first sets root (the repository) and data (the data directory).

# Each process gets its own process group, so that an interrupt at the terminal
# reaches only the script, which then stops the processes in order.
set -m

bin=$root/bin/wigeonflow
# The process IDs and names of the running processes; equal indexes belong together.
pids=()
names=()

# start NAME COMMAND... starts a command in the data directory, with its output in
# log/NAME.log.
start() {
  local name=$1
  shift
  (cd "$data" && exec "$@") >"$data/log/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

# localize EXAMPLE_DIR prints the directory to run an example from: EXAMPLE_DIR or,
# if NETWORK is set, a copy in the data directory on that loopback network, such as
# 127.41. With different networks, an example can run several times on one host.
localize() {
  local file copy=$data/example
  [ -n "${NETWORK:-}" ] || { echo "$1"; return; }
  mkdir -p "$copy"
  for file in "$1"/*; do
    sed "s/127\.[0-9]*\.\([0-9]*\.[0-9]*:\)/$NETWORK.\1/g" "$file" >"$copy/${file##*/}"
  done
  echo "$copy"
}

# stop_all stops the processes that start has started: routers, then control
# members, then stand-ins, so that each can still release what it holds, such as
# leases, at those that run longer. It signals processes by their IDs only.
stop_all() {
  stop_named 'router-*'
  stop_named 'control-*'
  stop_named '*'
}

# stop_named PATTERN stops the processes whose name matches and waits for them.
stop_named() {
  local i waiting=()
  for i in "${!pids[@]}"; do
    [[ ${names[i]} == $1 ]] || continue
    kill -TERM "${pids[i]}" 2>/dev/null
    waiting+=("${pids[i]}")
    unset "pids[i]"
  done
  for i in "${waiting[@]}"; do
    wait "$i" 2>/dev/null
  done
}

# await URL waits until URL answers with success. It fails after 300 attempts (about
# 30 s if the connection is refused), or once a process has ended.
await() {
  local i
  for ((i = 0; i < 300; i++)); do
    all_run || return 1
    curl -fsS -o /dev/null --max-time 2 "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "$1 did not answer with success in 300 attempts" >&2
  return 1
}

# all_run succeeds if every started process still runs. Otherwise it prints the end of
# the log of one that has ended.
all_run() {
  local i
  for i in "${!pids[@]}"; do
    kill -0 "${pids[i]}" 2>/dev/null && continue
    echo "${names[i]} has ended; the end of its log:" >&2
    tail -5 "$data/log/${names[i]}.log" >&2
    return 1
  done
}

# own_network prints a loopback network that depends on the process ID, so that
# concurrent runs rarely use the same one of the 160 networks.
own_network() { echo "127.$((64 + $$ % 160))"; }

# setting FILE NAME prints the value of a scalar setting of a settings file.
setting() {
  sed -n "s/^ *$2: *//p" "$1" | head -1
}

# upstreams FILE prints "ID POOL HOST:PORT" of each instance in a platform file.
upstreams() {
  sed -n 's/^ *- {id: \([^,]*\), pool: \([^,]*\), addr: "\([^"]*\)".*/\1 \2 \3/p' "$1"
}

# pool_kind FILE POOL prints the kind of a pool in an allowances file.
pool_kind() {
  awk -v pool="$2" '$1 == "-" && $2 == "name:" { name = $3 } $1 == "kind:" && name == pool { print $2; exit }' "$1"
}

# start_standins EXAMPLE_DIR starts the platform and every upstream of its list.
# STEP, if set, is the duration of an engine's decode step, such as 8ms.
start_standins() {
  local id pool addr
  while read -r id pool addr; do
    start "$id" env GOMAXPROCS=1 ${STEP:+WIGEONFLOW_STANDIN_STEP_TIME=$STEP} \
      "$bin" standin "$(pool_kind "$1/allowances.yaml" "$pool")" --listen "$addr"
  done < <(upstreams "$1/platform.yaml")
  start platform env GOMAXPROCS=1 "$bin" standin platform --file "$1/platform.yaml" --lag 1s --probe \
    --listen "$(setting "$1/router-1.yaml" url | sed 's|^http://||')"
}

# start_instances EXAMPLE_DIR PATTERN starts the Instances whose settings files
# match PATTERN.
start_instances() {
  local file name
  for file in "$1"/$2; do
    name=$(setting "$file" instance)
    mkdir -p "$data/state/$name"
    start "$name" env GOMAXPROCS=2 "$bin" serve --config "$file"
  done
}

# apply_lists EXAMPLE_DIR KEY puts the example's plans and allowances in force. The
# operation ID is the same at every start, so that a second start on the same data
# directory changes nothing.
apply_lists() {
  WIGEONFLOW_OPERATOR_KEY=$2 "$bin" apply --control "$(operators "$1")" \
    --expect 0 --operation "example-start" "$1/plans.yaml" "$1/allowances.yaml"
}

# operators EXAMPLE_DIR prints the operators' addresses, separated by commas.
operators() {
  local file list=
  for file in "$1"/control-*.yaml; do
    list+=,$(setting "$file" operators)
  done
  echo "${list#,}"
}

# operator_key EXAMPLE_DIR prints the demonstration key of the operators.
operator_key() {
  grep -oE '[a-z]+-operator(-demo)?' "$1/README.md" | tail -1
}

# start_fleet EXAMPLE_DIR starts all processes of an example and waits until its
# routers serve.
start_fleet() {
  local file
  mkdir -p "$data/log"
  [ -s "$data/fleet.secret" ] || head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$data/fleet.secret"
  chmod 600 "$data/fleet.secret"
  start_standins "$1" || return 1
  start_instances "$1" 'control-*.yaml' || return 1
  for file in "$1"/control-*.yaml; do
    await "http://$(setting "$file" operators)/healthz" || return 1
  done
  apply_lists "$1" "$(operator_key "$1")" || return 1
  start_instances "$1" 'router-*.yaml' || return 1
  for file in "$1"/router-*.yaml; do
    await "http://$(setting "$file" callers)/readyz" || return 1
  done
  all_run
}

# print_addresses EXAMPLE_DIR prints where each process of an example listens.
print_addresses() {
  local file id pool addr
  for file in "$1"/control-*.yaml; do
    printf '%-12s operators http://%s\n' "$(setting "$file" instance)" "$(setting "$file" operators)"
  done
  for file in "$1"/router-*.yaml; do
    printf '%-12s callers   http://%s\n' "$(setting "$file" instance)" "$(setting "$file" callers)"
  done
  while read -r id pool addr; do
    printf '%-12s %-9s http://%s\n' "$id" "$pool" "$addr"
  done < <(upstreams "$1/platform.yaml")
  printf '%-12s           %s\n' platform "$(setting "$1/router-1.yaml" url)"
}
