#!/usr/bin/env bash
# Measures what one executor of 17 in a failure domain at a tenth of its speed
# costs: the same load without and with it, in turn.
#   scripts/slow-target.sh [seconds a run]
set -eu -o pipefail
cd "$(dirname "$0")/.."
SECONDS_OF_LOAD=${1:-20}
. scripts/cluster.sh
cluster_up andina
for slow in 1 10 1 10; do
  curl -sf -X POST "http://127.1.1.250:7000/control/faults" -d "{\"address\":\"127.1.1.1:7100\",\"slow\":$slow}"
  sleep 1
  cluster_load overload -load 0.6 -duration "${SECONDS_OF_LOAD}s" -policy "slow=$slow" |
    grep -E '"(policy|jobs|complete|slowdown_p50|slowdown_p99|response_p99_ms)":' | head -6 | tr -d '\n' | sed 's/  */ /g'
  echo
done
