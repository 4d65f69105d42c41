#!/usr/bin/env bash
# Guards against requests that run twice or after a promise, when targets and
# links between nodes break connections; scripts/cut_links.sh runs more seeds.
cd "$(dirname "$0")/.." || exit 1
exec scripts/cut_links.sh 2 1 8
