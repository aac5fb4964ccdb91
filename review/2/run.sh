#!/usr/bin/env bash
# Case 2, with two gateways; see claim.txt and trial.cc. Writes record.txt.
# TROUBLE=0: the same without the endless bodies.
exec "$(dirname "$0")/../standins/run-trial" "$(dirname "$0")" 2
