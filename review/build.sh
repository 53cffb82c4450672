#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
cd "$(dirname "$0")/.." && exec go build -tags review -o target/review/ ./review/standin
