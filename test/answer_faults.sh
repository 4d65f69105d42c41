#!/usr/bin/env bash
# Guards against answers that a target breaks off and that look whole to the
# caller, and against statuses that promise "not run" for requests that ran.
cd "$(dirname "$0")/.." || exit 1
exec python3 platform/soak/answer_faults.py --binary build/masticmux
