#!/usr/bin/env bash
# Plays days of one kind of disruption each, or of random pairs of kinds, and
# prints a line of each day's report. Every disruption strikes twice.
#   scripts/kinds.sh BENCH SITE alone [FIRST [STEP]]   each variant by itself, from the FIRST on, every STEP-th
#   scripts/kinds.sh BENCH SITE pairs COUNT SEED       pairs drawn with SEED
# SMALL=1 plays the small twin of a large site, as its first standard day lays it out.
set -u -o pipefail
cd "$(dirname "$0")/.."
usage="usage: scripts/kinds.sh BENCH SITE alone [FIRST [STEP]] | pairs COUNT SEED"
BENCH=${1:?$usage}
SITE=${2:?$usage}
MODE=${3:?$usage}
FIRST_STRIKE=4
SECOND_STRIKE=15
TWIN=
FLAGS=()
if [[ -n ${SMALL:-} ]]; then
  TWIN=$(grep -m 1 '^small = ' "$SITE") || { echo "$SITE has no small twin" >&2 && exit 2; }
  FLAGS=(--small)
fi
SERVICE=$(sed -n 's/^ *{ name = "\([^"]*\)", servers = .*/\1/p' "$SITE" | head -1)
CLASS=$(sed -n 's/^ *{ name = "\([^"]*\)", aim_ms = .*/\1/p' "$SITE" | head -1)

# list FIELDS HOW... prints a variant for each HOW; - stands for none.
list() {
  local fields=$1 how
  shift
  for how in "$@"; do
    if [[ $how == - ]]; then echo "$fields"; else echo "$fields, how = \"$how\""; fi
  done
}

variants() {
  list "kind = \"burst\", x = 1.5, for_s = 4.0" -
  list "kind = \"burst\", class = \"$CLASS\", x = 2.0, for_s = 4.0" -
  list 'kind = "shift", share = 0.5, for_s = 5.0' -
  list 'kind = "give_up", share = 0.35, for_s = 5.0' -
  list 'kind = "give_up", share = 0.4, x = 900.0, for_s = 5.0' -
  list 'kind = "srv_crash", share = 0.2, for_s = 4.0' - dark gone domain rack
  list 'kind = "srv_slow", share = 0.2, x = 6.0, for_s = 6.0' -
  list 'kind = "srv_grey", share = 0.15, x = 0.8, for_s = 6.0' errors shed busy hang reset mute 'errors one_zone' 'hang one_zone'
  list 'kind = "srv_grey", share = 0.15, x = 8.0, for_s = 6.0' slow
  list 'kind = "srv_cut", share = 0.2, x = 0.3, for_s = 5.0' - fronts some one_way reset 'some one_way'
  list "kind = \"node_cut\", service = \"$SERVICE\", share = 0.2, for_s = 5.0" servers 'servers one_way' 'servers reset'
  list 'kind = "scale_out", share = 0.2, gap_s = 2.0' -
  list 'kind = "scale_in", share = 0.1' - 'spot' 'reclaim' 'reclaim dry'
  list "kind = \"release\", share = 0.3, x = 1.0, gap_s = 1.0" -
  list 'kind = "answer_lost", share = 0.5, x = 0.05, for_s = 6.0' -
  list 'kind = "applied_late", x = 0.1, for_s = 6.0' orders cloud grants all
  list 'kind = "node_kill", share = 0.3, for_s = 3.0' - power leader 'power leader' giver reader 'leader race drain' 'leader hard'
  list 'kind = "node_freeze", share = 0.3, for_s = 3.0' - leader giver turn meet
  list 'kind = "node_slow", share = 0.3, x = 6.0, for_s = 5.0' - leader
  list 'kind = "roll_term", share = 0.5, x = 1.0, gap_s = 1.3' - busy remove meet
  list 'kind = "herd_kill", share = 0.6, for_s = 2.0' - power
  list 'kind = "herd_kill", on = "core", share = 1.0, for_s = 2.0' - off taken 'taken all'
  list 'kind = "add_nodes", share = 0.75' -
  list 'kind = "replace_core", x = 2.0' - leader planned
  list 'kind = "after_ack_kill", for_s = 2.0' - kill timed taken 'taken gone'
  list 'kind = "zone_cut", for_s = 5.0' - reset refuse meet
  list 'kind = "core_cut", count = 2, for_s = 5.0' - leader one_way split all near seeds both lure relieve 'leader race' 'all one_way'
  list 'kind = "node_cut", share = 0.3, for_s = 5.0' - all 'all one_way' meet reset 'all meet'
  list 'kind = "platform_down", share = 0.0, for_s = 5.0' silent busy reset 'silent lapse' 'reset lapse'
  list 'kind = "platform_down", share = 0.4, for_s = 6.0' nodes 'nodes busy revoke' 'nodes many' 'nodes reset meet' 'nodes leader'
  list 'kind = "platform_slow", x = 80.0, for_s = 5.0' -
  list 'kind = "platform_lost", x = 0.4, for_s = 5.0' - late
  list 'kind = "platform_compact", x = 5.0, for_s = 6.0' - watches stale drain keyed
  list 'kind = "config_change"' route weights timeout quota idle
  list 'kind = "config_storm", for_s = 4.0, gap_s = 0.3' -
  list 'kind = "big_config", count = 400' -
  list "kind = \"poison\", share = 0.1, for_s = 4.0, class = \"$CLASS\"" -
  list 'kind = "clock_step", share = 0.4, x = 3000.0, for_s = 4.0' - back ahead
  list 'kind = "hup", share = 0.5, gap_s = 2.0' -
  list 'kind = "reset_conns", share = 0.4, x = 0.6' - silent
  list 'kind = "evacuate", for_s = 5.0' - warm
  list 'kind = "bridge_cut", for_s = 5.0' -
  list 'kind = "one_way", for_s = 5.0' all 'all in'
  list 'kind = "lossy", x = 0.05, for_s = 5.0' -
  list 'kind = "srv_flap", share = 0.15, gap_s = 1.3, for_s = 6.0' -
  list 'kind = "srv_lying_health", share = 0.15, for_s = 6.0' bad errors reset
  list "kind = \"hot_key\", share = 0.6, for_s = 5.0, class = \"$CLASS\"" -
  list 'kind = "cloud_down", for_s = 5.0' silent busy reset
  list 'kind = "cloud_slow", x = 50.0, for_s = 5.0' -
}

# play NAME SEED FAULT... plays a day on which each fault strikes twice.
play() {
  local name=$1 seed=$2 fault planned plan='' faults='' at=$FIRST_STRIKE report
  shift 2
  for fault in "$@"; do
    planned='kind = "(scale_out|scale_in|release|roll_term|add_nodes|config_change|config_storm|big_config|hup|evacuate)"'
    local entries="  { at = $at.0, $fault },"$'\n'"  { at = $((at + SECOND_STRIKE - FIRST_STRIKE)).5, $fault },"$'\n'
    if [[ $fault =~ $planned ]]; then plan+=$entries; else faults+=$entries; fi
    at=$((at + 2))
  done
  cat >"$FOLDER/$name.toml" <<DAY
name = "$name"
slot = "trouble"
seed = $seed
$TWIN
length_s = 32.0
closing = { kind = "kill_all", down_s = 0.8 }
one = 1.0
zero = 0.0
plan = [
  { at = 11.0, kind = "config_change", how = "timeout" },
  { at = 25.0, kind = "config_change", how = "idle" },
$plan]
faults = [
$faults]
DAY
  report=$("$BENCH" run "$SITE" "$FOLDER/$name.toml" "${FLAGS[@]}" --why "a day of one kind, or of two, that strike twice: $*" 2>&1)
  echo "$(basename "$SITE" .toml) $(grep -A1 '^day  ' <<<"$report" | tail -1) | $*"
  grep -A 3 '^rules broken' <<<"$report" && cp "$FOLDER/$name.toml" "${KEEP:-$FOLDER}/"
  return 0
}

FOLDER=$(mktemp -d)
mapfile -t all < <(variants)
case $MODE in
alone)
  for ((i = ${4:-0}; i < ${#all[@]}; i += ${5:-1})); do
    play "kind-$i" $((1000 + i)) "${all[i]}"
  done
  ;;
pairs)
  RANDOM=${5:?$usage}
  for ((i = 0; i < ${4:?$usage}; i++)); do
    one=$((RANDOM % ${#all[@]}))
    two=$((RANDOM % ${#all[@]}))
    play "pair-$5-$i" $((2000 + 100 * $5 + i)) "${all[one]}" "${all[two]}"
  done
  ;;
*) echo "$usage" >&2 && exit 2 ;;
esac
