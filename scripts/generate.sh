#!/usr/bin/env bash
# Runs COUNT seeds of the scenario generator, from FIRST_SEED (default 1).
# Prints the seeds that break a guarantee, with their traces.
set -eu
cd "$(dirname "$0")/.."
count=${1:?usage: scripts/generate.sh COUNT [FIRST_SEED]}
make -s build/scenario-tests
exec build/scenario-tests test generate "$count" "${2:-1}"
