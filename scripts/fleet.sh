#!/usr/bin/env bash
# Runs one of the examples on loopback until it is interrupted: stand-ins, control
# members and routers as separate processes.
# Usage: scripts/fleet.sh EXAMPLE [DATA_DIR]   (default data/EXAMPLE)
# NETWORK, such as 127.41, sets the loopback network; by default the example's own
# addresses are used.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
example=$root/examples/${1:?usage: scripts/fleet.sh EXAMPLE [DATA_DIR]}
[ -f "$example/platform.yaml" ] || { echo "no example at $example: platform.yaml is missing" >&2; exit 2; }
mkdir -p "${2:-$root/data/$1}"
data=$(cd "${2:-$root/data/$1}" && pwd)
. "$root/scripts/lib.sh"
example=$(localize "$example")
[ -x "$bin" ] || { echo "no $bin: run make build first" >&2; exit 2; }

trap stop_all EXIT
trap 'exit 0' INT TERM
start_fleet "$example" || exit 1
print_addresses "$example"
echo "logs in $data/log; interrupt to stop"
wait
