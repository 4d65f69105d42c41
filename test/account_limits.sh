#!/usr/bin/env bash
# Guards against a limit of an account that each node applies for itself, so
# that callers of several nodes together exceed it, against one that leaves
# capacity unused, and against either of them when the owner is lost.
cd "$(dirname "$0")/.." || exit 1
exec python3 platform/soak/account_limits.py --binary build/masticmux
