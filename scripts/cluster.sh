# Functions to start and stop a small installation on loopback addresses:
# one stand-in platform, one process of stand-in targets and three entry hosts
# a failure domain. Sourced by the other scripts.
#
#   cluster_scratch                   sets OUT to a new folder, until the script ends
#   cluster_start andina|braendeovn   sets ENTRIES, ENTRY_PIDS, PLATFORM, CONTROLS
#   cluster_load SCENARIO FLAG...     drives a scenario and prints its report
#   cluster_stop                      ends what cluster_start started

BIN=${BIN:-bin/foxcroft}
OUT=${OUT:-out}
HOSTS_PER_DOMAIN=${HOSTS_PER_DOMAIN:-3}
DOMAINS_USED=${DOMAINS_USED:-3}
TARGET_FLAGS=${TARGET_FLAGS:-}
EXTRA_SETTINGS=${EXTRA_SETTINGS:-}
SHORT_NOTICE=$'[stop]\nnotice = 100ms' # for EXTRA_SETTINGS: no balancer has to see a host leave
PIDS=()

cluster_scratch() { # OUT is a new folder; it and all that runs end with the script
  OUT=$(mktemp -d)
  trap 'cluster_stop; rm -rf "$OUT"' EXIT
}

cluster_names() {
  case $1 in
    andina) NET=1; DOMAINS=(bogota-norte medellin-sur cali-centro); SERVICE=formula-desk; TEAM=counters ;;
    braendeovn) NET=2; DOMAINS=(aarhus-hall silkeborg-hall randers-hall); SERVICE=ovnbook; TEAM=studios ;;
    *) echo "unknown deployment $1" >&2; return 2 ;;
  esac
  PLATFORM=127.$NET.0.1:7000
  EXECUTORS=(17 17 16)
}

spawn() { # spawn NAME command...: in the background, logging to OUT/NAME.log
  local name=$1; shift
  "$@" >"$OUT/$name.out" 2>"$OUT/$name.log" &
  PIDS+=($!)
}

entry_settings() { # entry_settings domain-index host-index
  local d=$1 h=$2 seeds="" i
  for ((i = 1; i <= HOSTS_PER_DOMAIN; i++)); do
    [ "$i" = "$h" ] || seeds="$seeds${seeds:+, }127.$NET.1$d.$i:8081"
  done
  cat <<INI
[entry]
name = ${DOMAINS[$((d - 1))]}-$h
domain = ${DOMAINS[$((d - 1))]}
caller_address = 127.$NET.1$d.$h:8080
peer_address = 127.$NET.1$d.$h:8081
seeds = $seeds

[platform]
address = $PLATFORM

$EXTRA_SETTINGS
INI
}

announce() { # announce name domain peer-address: as the platform's launcher does
  curl -sf -X POST "http://$PLATFORM/control/hosts" \
    -d "{\"name\":\"$1\",\"domain\":\"$2\",\"peer_address\":\"$3\"}"
}

wait_for() { # wait_for URL: until it answers 200, 10 s at most
  local i
  for ((i = 0; i < 100; i++)); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "$1 does not answer" >&2
  return 1
}

start_platform() {
  spawn platform "$BIN" standin -listen "$PLATFORM" platform
  wait_for "http://$PLATFORM/v1/hosts"
}

start_entry() { # start_entry domain-index host-index
  local name="${DOMAINS[$(($1 - 1))]}-$2"
  entry_settings "$1" "$2" >"$OUT/$name.ini"
  # shellcheck disable=SC2086
  spawn "$name" "$BIN" entry -settings "$OUT/$name.ini" ${ENTRY_FLAGS:-}
}

start_targets() { # start_targets domain-index
  local d=$1 i list=""
  for ((i = 1; i <= EXECUTORS[d - 1]; i++)); do
    list="$list${list:+,}127.$NET.$d.$i:7100"
  done
  # shellcheck disable=SC2086
  spawn "targets-$d" "$BIN" standin -listen "127.$NET.$d.250:7000" -executors "$list" $TARGET_FLAGS target
  CONTROLS="$CONTROLS${CONTROLS:+,}127.$NET.$d.250:7000"
}

cluster_start() {
  cluster_names "$1" || return
  mkdir -p "$OUT"
  ENTRIES="" CONTROLS="" ENTRY_PIDS=()
  local d h
  start_platform || return
  for ((d = 1; d <= DOMAINS_USED; d++)); do
    start_targets "$d"
    for ((h = 1; h <= HOSTS_PER_DOMAIN; h++)); do
      announce "${DOMAINS[$((d - 1))]}-$h" "${DOMAINS[$((d - 1))]}" "127.$NET.1$d.$h:8081"
      ENTRIES="$ENTRIES${ENTRIES:+,}127.$NET.1$d.$h:8080"
    done
  done
  for ((d = 1; d <= DOMAINS_USED; d++)); do
    for ((h = 1; h <= HOSTS_PER_DOMAIN; h++)); do
      start_entry "$d" "$h"
      ENTRY_PIDS+=($!)
    done
  done
}

cluster_wait_links() { # until every host has a link to every other, 20 s at most
  local i wanted=$((HOSTS_PER_DOMAIN * DOMAINS_USED - 1)) entry up
  for ((i = 0; i < 200; i++)); do
    up=0
    for entry in ${ENTRIES//,/ }; do
      [ "$(curl -sf "http://$entry/v1/status" | grep -o '"backup":' | wc -l)" -ge "$wanted" ] && up=$((up + 1))
    done
    [ "$up" -gt "$wanted" ] && return 0
    sleep 0.1
  done
  echo "not all links are up" >&2
  return 1
}

cluster_apply() { # cluster_apply FILE [BASE]
  "$BIN" apply -platform "$PLATFORM" -base "${2:-0}" -wait 10s -entries "$ENTRIES" "$1"
}

cluster_load() { # cluster_load SCENARIO FLAG...: drives a scenario and prints its report as JSON
  local scenario=$1; shift
  "$BIN" load -quiet -json -entries "$ENTRIES" -controls "$CONTROLS" -scenario "scenarios/$scenario.ini" "$@"
}

cluster_up() { # cluster_up DEPLOYMENT: all hosts with its example in force, until the script ends
  cluster_scratch
  EXTRA_SETTINGS=$SHORT_NOTICE
  cluster_start "$1"
  cluster_apply "examples/$1.ini" >&2
  cluster_wait_links
}

cluster_stop() { # a planned stop of what is left
  local pid
  [ ${#PIDS[@]} -eq 0 ] && return
  kill "${PIDS[@]}" 2>/dev/null || true
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  PIDS=()
}
