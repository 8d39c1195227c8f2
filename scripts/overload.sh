#!/usr/bin/env bash
# Measures refusals and goodput at loads beyond the capacity, and in bursts of
# five times the arrivals.
#   scripts/overload.sh [seconds a run]
set -eu -o pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_up andina
for run in "0.9 overload" "1.2 overload" "2.0 overload" "0.6 burst" "0.7 overload"; do
  set -- "${1:-15}" $run
  cluster_load "$3" -load "$2" -duration "$1s" -policy shares |
    grep -E '"(scenario|load|jobs|complete|refused|may_have_run|goodput|slowdown_p99|double_starts|false_not_run|resubmissions|overloaded|deadline_passed)":' | tr -d '\n' | sed 's/  */ /g'
  echo
done
