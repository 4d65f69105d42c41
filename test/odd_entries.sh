#!/usr/bin/env bash
# Guards against one odd entry or announcement of another writer that ends nodes,
# stops them from following the store, or adds, moves or removes a target.
cd "$(dirname "$0")/.." || exit 1
exec python3 platform/soak/odd_entries.py --binary build/masticmux
