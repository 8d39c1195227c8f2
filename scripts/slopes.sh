#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md: memory an id, reading a
# configuration, dividing and finding slots, and what entry hosts spend on
# control while idle, for 3, 6 and 9 hosts.
set -eu -o pipefail
cd "$(dirname "$0")/.."
go test -run '^$' -bench 'BytesPerID|Parse|Shares|Acquire' -benchtime 200ms ./pkg/once ./pkg/config ./pkg/route | grep Benchmark
. scripts/cluster.sh
cluster_scratch
EXTRA_SETTINGS=$SHORT_NOTICE
field() { grep -o "\"$2\":[0-9.]*" <<<"$1" | head -1 | cut -d: -f2; } # json name
for DOMAINS_USED in 1 2 3; do
  cluster_start andina
  cluster_apply examples/andina.ini >&2
  cluster_wait_links
  sleep 2
  before=$(curl -sf "http://${ENTRIES%%,*}/v1/status")
  sleep 20
  after=$(curl -sf "http://${ENTRIES%%,*}/v1/status")
  reads=$(curl -sf "http://$PLATFORM/control/counters")
  awk -v hosts=$((DOMAINS_USED * 3)) -v c0="$(field "$before" cpu_seconds)" -v c1="$(field "$after" cpu_seconds)" \
    -v b0="$(sed 's/.*peer_bytes//' <<<"$before" | grep -o '"control":[0-9]*' | cut -d: -f2)" \
    -v b1="$(sed 's/.*peer_bytes//' <<<"$after" | grep -o '"control":[0-9]*' | cut -d: -f2)" \
    -v m="$(field "$after" memory_bytes)" -v r="$reads" \
    'BEGIN { printf "idle hosts=%d cpu=%.3f%% of a core, control sent=%.0f B/s, memory=%.1f MB, platform since start: %s\n", hosts, (c1 - c0) / 20 * 100, (b1 - b0) / 20, m / 1e6, r }'
  cluster_stop
done
