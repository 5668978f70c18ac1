#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. It needs no network: they use the
# standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -tags review2 -o bin/review-2 ./review/stand-2
