#!/usr/bin/env bash
# Kills, freezes and cuts off entry hosts under load, while callers submit
# again at random hosts. Fails when a promise was broken.
#   scripts/faults.sh [seconds] [faults, of: kill freeze cut pause stop]
set -eu -o pipefail
cd "$(dirname "$0")/.."
SECONDS_OF_LOAD=${1:-60}
read -r -a FAULTS <<<"${2:-kill freeze cut pause stop}"
DOMAINS_USED=1
. scripts/cluster.sh
cluster_scratch
EXTRA_SETTINGS=${EXTRA_SETTINGS:-}$'\n[stop]\nnotice = 200ms\n'

# Each host reaches each other host through a relay of its own.
RELAY_CONTROL=127.1.200.1:7000
relay_address() { echo "127.1.200.$(($1 * 10 + $2)):8081"; } # from to
seeds_through_relays() { # host-index
  local to seeds=""
  for to in 1 2 3; do
    [ "$to" = "$1" ] || seeds="$seeds${seeds:+, }$(relay_address "$1" "$to")"
  done
  echo "$seeds"
}
start_host() { # index; sets HOST_PIDS[index]
  entry_settings 1 "$1" | sed "s/^seeds = .*/seeds = $(seeds_through_relays "$1")/" >"$OUT/h$1.ini"
  printf '[link]\ngossip = false\n' >>"$OUT/h$1.ini"
  spawn "h$1-$RANDOM" "$BIN" entry -settings "$OUT/h$1.ini"
  HOST_PIDS[$1]=$!
}
cut_pair() { # a b true|false
  local pair
  for pair in "$1 $2" "$2 $1"; do
    # shellcheck disable=SC2086
    curl -sf -X POST "http://$RELAY_CONTROL/control/cut" -d "{\"listen\":\"$(relay_address $pair)\",\"cut\":$3}"
  done
}

cluster_names andina
CONTROLS="" ENTRIES="" HOST_PIDS=(0 0 0 0)
start_platform
start_targets 1
RELAYS=""
for from in 1 2 3; do
  for to in 1 2 3; do
    [ "$from" = "$to" ] || RELAYS="$RELAYS${RELAYS:+,}$(relay_address $from $to)=127.1.11.$to:8081"
  done
done
spawn relays "$BIN" standin -listen "$RELAY_CONTROL" -relays "$RELAYS" relay
for h in 1 2 3; do
  start_host "$h"
  ENTRIES="$ENTRIES${ENTRIES:+,}127.1.11.$h:8080"
done
cluster_apply examples/faults.ini >&2
cluster_wait_links

cluster_load faults -duration "${SECONDS_OF_LOAD}s" -attempt 3s -policy faults >"$OUT/report.json" &
LOAD=$!
KILLS=0 FREEZES=0 CUTS=0 STOPS=0 STEP=0
while kill -0 "$LOAD" 2>/dev/null; do
  victim=$((STEP % 3 + 1)) other=$(((STEP + 1) % 3 + 1))
  case ${FAULTS[$((STEP % ${#FAULTS[@]}))]} in
    kill) kill -KILL "${HOST_PIDS[$victim]}"; KILLS=$((KILLS + 1)); sleep 1; start_host "$victim" ;;
    freeze) kill -STOP "${HOST_PIDS[$victim]}"; FREEZES=$((FREEZES + 1)); sleep 2.5; kill -CONT "${HOST_PIDS[$victim]}" ;;
    cut) cut_pair "$victim" "$other" true; CUTS=$((CUTS + 1)); sleep 2.5; cut_pair "$victim" "$other" false ;;
    pause) kill -STOP "${HOST_PIDS[$victim]}"; FREEZES=$((FREEZES + 1)); sleep 0.7; kill -CONT "${HOST_PIDS[$victim]}" ;;
    stop) kill -TERM "${HOST_PIDS[$victim]}"; STOPS=$((STOPS + 1)); sleep 1.5; start_host "$victim" ;;
  esac
  STEP=$((STEP + 1))
  sleep 2
done
STATUS=0
wait "$LOAD" || STATUS=$?
echo "{\"kills\": $KILLS, \"freezes\": $FREEZES, \"cuts\": $CUTS, \"planned_stops\": $STOPS}"
cat "$OUT/report.json"
exit $STATUS
