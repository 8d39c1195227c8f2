#!/usr/bin/env bash
# Runs the scenarios of both deployments under the default policy and the
# baselines, in turn, and prints one JSON object a scenario and policy.
#   scripts/measure.sh [seconds a run] [loads] [policies] [deployments]
set -eu -o pipefail
cd "$(dirname "$0")/.."
SECONDS_OF_LOAD=${1:-20}
LOADS=${2:-"0.7 0.9"}
POLICIES=${3:-"shares shares-alone random round-robin least-in-flight two-choices"}
DEPLOYMENTS=${4:-"andina braendeovn"}
LOAD_FLAGS=${LOAD_FLAGS:-}
. scripts/cluster.sh
cluster_scratch
EXTRA_SETTINGS=$SHORT_NOTICE
for deployment in $DEPLOYMENTS; do
  cluster_start "$deployment"
  version=0
  for load in $LOADS; do
    for policy in $POLICIES; do
      sed "s/^\(pool = .*\)$/\1/; /^\[service /a routing = $policy" "examples/$deployment.ini" >"$OUT/conf.ini"
      cluster_apply "$OUT/conf.ini" $version >&2
      version=$((version + 1))
      cluster_wait_links
      # shellcheck disable=SC2086
      cluster_load "$deployment" -load "$load" -duration "${SECONDS_OF_LOAD}s" -policy "$policy" $LOAD_FLAGS | tr -d '\n' | sed 's/  */ /g'
      echo
    done
  done
  cluster_stop
done
