#!/usr/bin/env bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." && exec target/review/standin wave review/4/record.txt
