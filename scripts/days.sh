#!/usr/bin/env bash
# Plays every day of deploy/days/ on each site and prints its line of the report.
#   scripts/days.sh BENCH SITE...
set -u -o pipefail
cd "$(dirname "$0")/.."
BENCH=${1:?usage: scripts/days.sh BENCH SITE...}
shift
for site in "$@"; do
  for day in deploy/days/*.toml; do
    report=$("$BENCH" run "$site" "$day" 2>&1)
    echo "$(basename "$site" .toml) $(grep -A1 '^day  ' <<<"$report" | tail -1)"
  done
done
