#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2 ./review/standin2
