#!/bin/sh
# A core machine is replaced as planned while another one is frozen; then two disks are
# lost. TROUBLE=0: nothing of it. TROUBLE=2: all but the freeze.
# What was sent, answered and run is in record.txt beside this file.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
