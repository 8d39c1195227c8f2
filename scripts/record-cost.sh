#!/usr/bin/env bash
# Measures what the record at the backup costs a job: the same build with the
# records on and off, in turn. Prints one report a run.
#   scripts/record-cost.sh [seconds a run]
set -eu -o pipefail
cd "$(dirname "$0")/.."
SECONDS_OF_LOAD=${1:-10}
DOMAINS_USED=1
. scripts/cluster.sh
cluster_scratch
for round in 1 2 3; do
  for skip in false true; do
    EXTRA_SETTINGS=$SHORT_NOTICE$'\n[once]\nunsafe_skip_record = '$skip
    cluster_start andina
    cluster_apply examples/faults.ini >&2
    cluster_wait_links
    cluster_load record-cost -duration "${SECONDS_OF_LOAD}s" -policy "skip_record=$skip" |
      grep -E '"(policy|jobs|response_p50_ms|response_p99_ms|record|copy|forward|job_against_ideal_p50)"' | tr -d '\n'
    echo
    cluster_stop
  done
done
