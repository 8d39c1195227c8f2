#!/usr/bin/env bash
# Plays two commits on the same days and seeds of the users' bench and tells
# whether they differ.
#
#   FLEETBENCH=/path/to/fleetbench scripts/compare.sh OLD NEW SITE SEED...
#
# OLD and NEW are commits, or directories with a clone. Prints a line a day:
# mean worth of both, the mean of the paired differences and its standard
# error. The last line is the mean over the days; it says "noise" when the
# difference is under two standard errors.
#   DAYS="a b"  the days to play (default: those with trouble)
#   JOBS=4      plays at a time
#   WHY=text    for the journal
#   OUT=dir     keeps the reports there, as old/DAY.SEED.json and new/DAY.SEED.json;
#               what is there already is not played again
set -eu -o pipefail
cd "$(dirname "$0")/.."
bench=${FLEETBENCH:?name the users bench in FLEETBENCH}
old=$1 new=$2 site=$(realpath "$3")
shift 3
seeds=$*
jobs=${JOBS:-4}
work=${OUT:-$(mktemp -d)}
days=${DAYS:-$(sed -n '/^\[\[day\]\]/{n;s/^name = "\(.*\)"/\1/p}' "$site" | grep -v quiet)}

# checkout VERSION PLACE: a clone with the program built.
checkout() {
  if [ -d "$1" ]; then
    ln -sfn "$(realpath "$1")" "$2"
  else
    git clone -q --shared . "$2"
    git -C "$2" -c advice.detachedHead=false checkout -q "$(git rev-parse "$1")"
  fi
  (cd "$2" && "$bench" build >/dev/null)
}

mkdir -p "$work/old" "$work/new"
checkout "$old" "$work/old.clone"
checkout "$new" "$work/new.clone"

play() { # play VERSION DAY SEED
  [ -s "$work/$1/$2.$3.json" ] && return
  cd "$work/$1.clone"
  "$bench" run "$site" "$2" --seed "$3" --report "$work/$1/$2.$3.json" \
    --why "compare ${WHY:-$old with $new}: $1" >"$work/$1/$2.$3.txt" 2>&1 ||
    echo "$1 $2 $3: the play failed, see $work/$1/$2.$3.txt" >&2
}
export -f play
export bench site work old new WHY
for day in $days; do
  for seed in $seeds; do
    echo "old $day $seed"
    echo "new $day $seed"
  done
done | xargs -P "$jobs" -L 1 bash -c 'play "$@"' play

# Every report without an empty list of broken rules.
grep -L '"breaks": {}' "$work"/old/*.json "$work"/new/*.json | sed 's/^/RULE BROKEN: /' || true

# worth VERSION DAY SEED, or nothing when there is no report.
worth() { sed -n 's/^ *"G": \([-0-9.]*\),.*/\1/p' "$work/$1/$2.$3.json" 2>/dev/null; }

for day in $days; do
  for seed in $seeds; do
    echo "$day $seed $(worth old "$day" "$seed") $(worth new "$day" "$seed")"
  done
done | awk '
  NF < 4 { missing++; next }
  {
    if (!($1 in n)) order[++days] = $1
    d = $4 - $3; n[$1]++; a[$1] += $3; b[$1] += $4; s[$1] += d; q[$1] += d * d
  }
  END {
    for (i = 1; i <= days; i++) {
      day = order[i]; k = n[day]; mean = s[day] / k
      var = k > 1 ? (q[day] - k * mean * mean) / (k - 1) : 0
      if (var < 0) var = 0
      printf "%-14s %.3f -> %.3f  %+.3f +- %.3f\n", day, a[day] / k, b[day] / k, mean, sqrt(var / k)
      A += a[day] / k; B += b[day] / k; M += mean; V += var / k
    }
    if (days == 0) { print "no day was played"; exit 1 }
    mean = M / days; err = sqrt(V) / days
    verdict = (mean < 0 ? -mean : mean) > 2 * err ? "differs" : "noise"
    printf "%-14s %.3f -> %.3f  %+.3f +- %.3f  %s\n", "mean", A / days, B / days, mean, err, verdict
    if (missing) printf "%d pairs lack a report\n", missing
  }'
