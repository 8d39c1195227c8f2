#!/usr/bin/env bash
# Measures what one entry host with one target adds to a call of 50 ms, and how
# many empty tasks it does a second a core.
set -eu -o pipefail
cd "$(dirname "$0")/.."
DOMAINS_USED=1 HOSTS_PER_DOMAIN=1 TARGET_FLAGS="-slots 64"
. scripts/cluster.sh
cluster_scratch
EXTRA_SETTINGS=$SHORT_NOTICE
cluster_start andina
cluster_apply examples/overhead.ini >&2
"$BIN" overhead -entry "$ENTRIES" -target 127.1.1.1:7100 -service formula-desk -team counters "$@"
