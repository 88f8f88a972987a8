#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run is in record.txt.
cd "$(dirname "$0")/.." || exit 2
exec timeout --kill-after=5 118 python3 3/case.py
