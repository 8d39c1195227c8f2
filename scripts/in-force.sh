#!/usr/bin/env bash
# Measures the time from the acceptance of a version until it is in force on
# nine hosts, and the platform's reads and writes, with the platform well and
# then with its list down and slow.
#   scripts/in-force.sh [versions]
set -eu -o pipefail
cd "$(dirname "$0")/.."
VERSIONS=${1:-20}
. scripts/cluster.sh
cluster_up andina
version=1
for faults in '{}' '{"list_down":true,"slow_ms":200}'; do
  curl -sf -X POST "http://$PLATFORM/control/faults" -d "$faults"
  began=$(date +%s) before=$(curl -sf "http://$PLATFORM/control/counters")
  for ((i = 0; i < VERSIONS; i++)); do
    "$BIN" apply -platform "$PLATFORM" -base $version examples/andina.ini >/dev/null
    version=$((version + 1))
    accepted=$(date +%s%N)
    for entry in ${ENTRIES//,/ }; do
      until curl -sf "http://$entry/v1/status" | grep -q "\"config_version\":$version,\"leaving"; do sleep 0.02; done
    done
    echo $((($(date +%s%N) - accepted) / 1000000))
  done | sort -n >"$OUT/times"
  version=$((version + VERSIONS))
  awk -v faults="$faults" '{ t[NR] = $1 } END { printf "platform %s: %d versions in force on 9 hosts, p50 %d ms, p99 %d ms\n", faults, NR, t[int((NR + 1) / 2)], t[NR] }' "$OUT/times"
  echo "platform before $before after $(curl -sf "http://$PLATFORM/control/counters") in $(($(date +%s) - began)) s"
done
