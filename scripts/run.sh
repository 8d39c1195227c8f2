#!/usr/bin/env bash
# Starts a small installation, applies a configuration, submits a job, prints
# its whole answer and cleans up.
#   scripts/run.sh [andina|braendeovn]
set -eu -o pipefail
cd "$(dirname "$0")/.."
DEPLOYMENT=${1:-andina}
. scripts/cluster.sh
cluster_scratch
EXTRA_SETTINGS=$SHORT_NOTICE
cluster_start "$DEPLOYMENT"
cluster_apply "examples/$DEPLOYMENT.ini"
"$BIN" submit -entries "$ENTRIES" -service "$SERVICE" -team "$TEAM" -tasks 12 -ms 50
"$BIN" status -entries "$ENTRIES" -platform "$PLATFORM"
