#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" && exec timeout -k 5 110 python3 case.py
