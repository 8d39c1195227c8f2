#!/usr/bin/env bash
# Moves a service from one failure domain to another under load, step by step
# as docs/OPERATIONS.md has it. Fails when a promise was broken or a job lost.
#   scripts/move.sh [seconds of load]
set -eu -o pipefail
cd "$(dirname "$0")/.."
SECONDS_OF_LOAD=${1:-40}
. scripts/cluster.sh
cluster_scratch
EXTRA_SETTINGS=$'[stop]\nnotice = 1s'

without() { # without DOMAIN...: the example document without their executors
  awk -v drop="$*" 'BEGIN { n = split(drop, d, " "); for (i = 1; i <= n; i++) gone["[executors formula " d[i] "]"] = 1 }
    /^\[/ { skip = ($0 in gone) } !skip' examples/andina.ini | sed 's/^quota_slots = 200/quota_slots = 100/'
}

cluster_names andina
CONTROLS="" ENTRIES="" ENTRY_PIDS=()
start_platform
start_targets 1
start_targets 2
OLD="" NEW="" OLD_PIDS=()
for h in 1 2 3; do
  announce "${DOMAINS[0]}-$h" "${DOMAINS[0]}" "127.$NET.11.$h:8081"
  start_entry 1 "$h"
  OLD_PIDS+=($!)
  OLD="$OLD${OLD:+,}127.$NET.11.$h:8080"
  NEW="$NEW${NEW:+,}127.$NET.12.$h:8080"
done
without medellin-sur cali-centro >"$OUT/old.ini"
without cali-centro >"$OUT/both.ini"
without bogota-norte cali-centro >"$OUT/new.ini"
ENTRIES=$OLD
cluster_apply "$OUT/old.ini" 0

load() { # load NAME ENTRIES SECONDS
  ENTRIES=$2 cluster_load move -duration "$3s" -policy "$1" >"$OUT/$1.json"
}
report() { # report NAME
  grep -E '"(policy|jobs|complete|refused|may_have_run|double_starts|false_not_run|crossed_or_partial|response_p99_ms)":' "$OUT/$1.json" | tr -d '\n'
  echo
}

third=$((SECONDS_OF_LOAD / 3))
load before "$OLD" "$third" &
LOAD=$!
sleep 2
echo "step 1: entry hosts at the new site"
for h in 1 2 3; do
  announce "${DOMAINS[1]}-$h" "${DOMAINS[1]}" "127.$NET.12.$h:8081"
  start_entry 2 "$h"
done
ENTRIES="$OLD,$NEW" HOSTS_PER_DOMAIN=3 DOMAINS_USED=2
cluster_wait_links
echo "step 2: the new executors join"
cluster_apply "$OUT/both.ini" 1
wait "$LOAD"
echo "step 3: callers move, half of the way, then all"
load both "$OLD,$NEW" "$third" &
LOAD=$!
wait "$LOAD"
load new "$NEW" "$third" &
LOAD=$!
sleep 1
echo "step 4: the old executors leave"
cluster_apply "$OUT/new.ini" 2
echo "step 5: the old entry hosts stop"
for pid in "${OLD_PIDS[@]}"; do
  kill -TERM "$pid"
  wait "$pid"
done
wait "$LOAD"
for phase in before both new; do report "$phase"; done
cat "$OUT"/{before,both,new}.json | awk '/^  "jobs":/ { gsub(/,/, ""); jobs += $2 } /"complete":/ { gsub(/,/, ""); complete += $2 }
  END { print jobs " jobs, " complete " complete"; exit jobs != complete }'
