#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the deploy file's program: one
# program with the stand-ins of the store, the workers and the clients.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -trimpath -tags review2 -o target/review-2/world ./review/world-2
