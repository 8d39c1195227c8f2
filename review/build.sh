#!/usr/bin/env bash
# Builds the program as the deploy file does, and the harness of the cases. Exits with 2 if that fails.
set -u
cd "$(dirname "$0")/.." || exit 2
mkdir -p target
go build -trimpath -ldflags=-linkmode=external -o target/foxcroft . || exit 2
go build -trimpath -tags review -o target/review-harness ./review/harness || exit 2
