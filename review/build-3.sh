#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/9 to review/13.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -tags review -o target/review-3/trial ./review/trial
go build -tags review -o target/review-3/calm ./review/calm
