#!/usr/bin/env bash
# Plays case 11: target/foxcroft and target/review-3/trial have been built before. RECORD names another record.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/trial majority-lost "${RECORD:-review/11/record.txt}"
