#!/usr/bin/env bash
# Builds the stand-ins and the scripts' driver, review/bin/drive. The Go files have the build tag "review", so that the
# default build, lint and test run leave them out.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/drive ./review/stand
