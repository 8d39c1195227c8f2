#!/usr/bin/env bash
# Runs all tests but those listed in KNOWN-RED.txt, and the concurrent packages
# again under the race detector. Its parts run side by side; the output of each is
# printed whole once it has ended. Fails if one of them fails, and says which.
#   scripts/test.sh
# No result is taken from the cache: it doesn't know of the program that the soak
# builds and runs.
set -eu -o pipefail
cd "$(dirname "$0")/.."

# The soak's tests mostly wait, and run one after the other. These play on networks
# from FIRST_NETWORK on; the others have networks of their own, which are kept with
# their seeds. The networks of the two (at most 60 to 159, and 200 to 231) don't meet.
FIRST_SOAK='SentAgain|BeginLate|SlowFronts|BreaksOnTheCallersSideOnly|OlderClaim|UnlistedExecutors|FirstDeadline|FirstFront|HostsStartAndFollow'
FIRST_NETWORK=200
AT_ONCE=3 # packages beside the soak, which suffers from a load that is too high
RACE_PACKAGES=(./pkg/peer/... ./pkg/entry/... ./pkg/target/... ./pkg/client/... ./pkg/standin/... ./pkg/platform/... ./pkg/integration/... ./pkg/node/... ./pkg/logbuffer/... ./platform ./platform/standin/...)

declare -A NAMES=() BEGAN=() # of the parts that run, by process id
FAILED=()
OUT=$(mktemp -d)

# signal_parts sends a signal to the parts that run, each of which is a process group,
# with all that their tests have started; it fails if none is left.
signal_parts() { # signal
  local pid left=1
  for pid in "${!NAMES[@]}"; do
    if kill -"$1" -- "-$pid" 2>/dev/null; then left=0; fi
  done
  return $left
}

# stop ends the parts that run. Tests freeze processes, which end only once they go on.
stop() {
  local tries
  trap '' INT TERM
  signal_parts INT || true
  signal_parts CONT || true
  for ((tries = 0; tries < 20; tries++)); do
    signal_parts 0 || break
    sleep 0.2
  done
  signal_parts KILL || true
  rm -rf "$OUT"
}
trap stop EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start runs go test as a part of this name.
start() { # name arguments...
  local name=$1
  shift
  set -m
  go test -count=1 -timeout 20m "$@" >"$OUT/$name" 2>&1 </dev/null &
  set +m
  NAMES[$!]=$name BEGAN[$!]=$SECONDS
}

# await waits for the next part to end, prints its output and sets ENDED to its name.
await() {
  local pid="" status=0
  wait -n -p pid "${!NAMES[@]}" || status=$?
  ENDED=${NAMES[$pid]}
  echo "== $ENDED: $((SECONDS - BEGAN[$pid])) s, $([ $status -eq 0 ] && echo passed || echo FAILED)"
  cat "$OUT/$ENDED"
  unset "NAMES[$pid]"
  [ $status -eq 0 ] || FAILED+=("$ENDED")
}

KNOWN=$(scripts/known-red.sh)
LISTED=$(go list ./...)
mapfile -t PACKAGES < <(grep -v '/platform/soak$' <<<"$LISTED")

start first-soak -run "$FIRST_SOAK" -skip "$KNOWN" ./platform/soak -soak.network "$FIRST_NETWORK"
start rest-of-soak -skip "$FIRST_SOAK${KNOWN:+|$KNOWN}" ./platform/soak
start packages -p "$AT_ONCE" -skip "$KNOWN" "${PACKAGES[@]}"
# The race detector waits for the packages, to keep the load low.
while [ ${#NAMES[@]} -gt 0 ]; do
  await
  [ "$ENDED" != packages ] || start race -p "$AT_ONCE" -race -skip "$KNOWN" "${RACE_PACKAGES[@]}"
done

if [ ${#FAILED[@]} -gt 0 ]; then
  echo "FAILED: ${FAILED[*]}"
  exit 1
fi
echo "all tests passed"
