#!/usr/bin/env bash
exec timeout -k 5 118 python3 -B "$(dirname "$0")/case.py"
