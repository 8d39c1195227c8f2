#!/usr/bin/env bash
# Copies a site of the users' bench so that its jobs have to be kept, and prints the
# path of the copy. The files stay in a temporary folder: they don't belong here.
#
#   scripts/kept-site.sh SITE [CLASS...]
#
# Without CLASS the jobs of all kinds of request are kept, else those of the kinds
# that are named; the others stay as they are.
#   CANCEL=0.15  this share of the kept jobs is cancelled
#   STEPS=2      the kept jobs have so many steps in the mean
#   OUT=dir      writes the copy there instead
set -eu -o pipefail
site=$(realpath "$1")
shift
folder=$(dirname "$site")
out=${OUT:-$(mktemp -d)}
mkdir -p "$out"
copy=$out/$(basename "$site" .toml)-kept.toml

# Names of kinds as an alternative of a pattern; any name without CLASS.
kinds=$(printf '%s|' "$@")
kinds=${kinds%|}
[ -n "$kinds" ] || kinds='[^"]*'

# Kinds of request stand on a line each, under classes.
change='s/loose = true/loose = false/'
[ -z "${CANCEL:-}" ] || change="$change; s/cancel = [0-9.]*/cancel = $CANCEL/"
[ -z "${STEPS:-}" ] || change="$change; s/steps = \{ mean = [0-9.]* \}/steps = { mean = $STEPS }/"
sed -E "/^classes = \[/,/^\]/{/name = \"($kinds)\"/{$change}}" "$site" >"$copy"
if ! grep -q 'loose = false' "$copy"; then
  echo "no kind of request of $site was changed; name one of its classes" >&2
  exit 1
fi

# What belongs to the site stands beside it.
cp "$folder/wire.json" "$out/"
days=${site%.toml}.days
[ ! -e "$days" ] || cp "$days" "${copy%.toml}.days"
echo "$copy"
