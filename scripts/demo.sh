#!/usr/bin/env bash
# Starts the demonstration fleet as separate processes, sends two turns of two
# chats, a lookup and a booking with a repeated key, prints the outcome of each, and
# stops the fleet. It fails if an answer is not the expected one. NETWORK, such as
# 127.41, sets the loopback network; by default each run uses its own.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
data=$(mktemp -d)
. "$root/scripts/lib.sh"
NETWORK=${NETWORK:-$(own_network)}
example=$(localize "$root/examples/demo")
finish() {
  stop_all
  rm -rf "$data"
}
trap finish EXIT
trap 'exit 1' INT TERM
[ -x "$bin" ] || { echo "no $bin: run make build first" >&2; exit 2; }

key=demo-workspace
failed=0

# check CONDITION... evaluates a condition of test(1). If it doesn't hold, it prints the
# failure, which $what describes, and makes the script fail.
check() {
  test "$@" && return
  echo "  check failed: $what ($*)"
  failed=1
}

# router NUMBER prints the address of a router for callers.
router() { setting "$example/router-$1.yaml" callers; }

# header NAME prints a header of the last response.
header() { sed -n "s/^$1: *//Ip" "$data/headers" | tr -d '\r' | head -1; }

# send_turn ROUTER CHAT MESSAGES sends one turn of a chat and checks the length of the
# answer. It sets content, cached and upstream from the response.
send_turn() {
  local body
  curl -sS --max-time 30 -D "$data/headers" -o "$data/body" "http://$(router "$1")/v1/chat/completions" \
    -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
    -d "{\"model\":\"care-notes\",\"max_tokens\":32,\"prompt_cache_key\":\"$2\",\"messages\":[$3]}" || failed=1
  body=$(cat "$data/body")
  content=$(sed -n 's/.*"content":"\([^"]*\)".*/\1/p' <<<"$body")
  cached=$(sed -n 's/.*"cached_tokens":\([0-9]*\).*/\1/p' <<<"$body")
  upstream=$(header Wigeonflow-Upstream)
  printf '%-28s router %s  upstream %-10s cached prompt tokens %-4s %s words\n' \
    "chat $2, turn $turn" "$1" "${upstream:-none}" "${cached:-none}" "$(wc -w <<<"$content")"
  what="chat $2, turn $turn: 32 words"
  check "$(wc -w <<<"$content")" -eq 32
}

# user TEXT and assistant TEXT print a chat message of that role as JSON.
user() { printf '{"role":"user","content":"%s"}' "$1"; }
assistant() { printf '{"role":"assistant","content":"%s"}' "$1"; }

# call_service METHOD ROUTER PATH [CURL_ARGUMENTS...] sends a request to the service. It
# sets body and status from the response.
call_service() {
  local method=$1 via=$2 path=$3
  shift 3
  status=$(curl -sS --max-time 30 -X "$method" -D "$data/headers" -o "$data/body" -w '%{http_code}' \
    "http://$(router "$via")/services/counter$path" -H "Authorization: Bearer $key" "$@") || failed=1
  body=$(cat "$data/body")
  outcome=$(header Wigeonflow-Outcome)
  printf '%-28s router %s  upstream %-10s status %s  outcome %s\n' \
    "$method $path" "$via" "$(header Wigeonflow-Upstream)" "$status" "${outcome:-ran}"
}

# runs KEY prints how often the services have run the idempotency key, in total.
runs() {
  local id pool addr n=0
  while read -r id pool addr; do
    [ "$pool" = counter ] || continue
    n=$((n + $(curl -sS "http://$addr/standin/runs" | sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p;t;s/.*/0/p")))
  done < <(upstreams "$example/platform.yaml")
  echo "$n"
}

start_fleet "$example" || exit 1
print_addresses "$example"
echo

history='The silk tie of the district choir came in on Monday with a coffee stain and a loose seam near the tip'
court_history="A judge of the city court asks for his black wool tie, pressed flat and steamed, before the session on Friday"
turn=1
send_turn 1 choir "$(user "$history")"; choir=$content; choir_at=$upstream
send_turn 2 court "$(user "$court_history")"; court=$content; court_at=$upstream
turn=2
send_turn 3 choir "$(user "$history"),$(assistant "$choir"),$(user 'When is it ready?')"
what="chat choir returns to its engine and cache"
check "$upstream" = "$choir_at"
check "${cached:-0}" -gt 0
send_turn 1 court "$(user "$court_history"),$(assistant "$court"),$(user 'When is it ready?')"
what="chat court returns to its engine and cache"
check "$upstream" = "$court_at"
check "${cached:-0}" -gt 0

call_service GET 1 /stock/silk
what="the lookup succeeds"
check "$status" = 200
booking="booking-$$"
call_service POST 2 /pickups -H "Idempotency-Key: $booking" -d '{"choir":"district"}'
first=$body
what="the booking ran"
check "$status" = 201
call_service POST 3 /pickups -H "Idempotency-Key: $booking" -d '{"choir":"district"}'
what="the repeated key gets the first answer"
check "$body" = "$first"
times=$(runs "$booking")
echo "the services ran the booking $times time(s)"
what="the booking ran once"
check "$times" = 1
exit $failed
