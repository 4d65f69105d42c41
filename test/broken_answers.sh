#!/usr/bin/env bash
# The step of scripts/faults.sh in which targets answer late, break off their
# answers or close without one, on real processes.
cd "$(dirname "$0")/.." || exit 1
STEPS=step_broken_answers_are_never_whole exec bash scripts/faults.sh
