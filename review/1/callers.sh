#!/usr/bin/env bash
# Case 1, the same check reached by a caller, with one gateway; see claim.txt and
# callers_trial.cc. Writes callers_trial-record.txt. TROUBLE=0: the request
# arrives in one piece.
exec "$(dirname "$0")/../standins/run-trial" "$(dirname "$0")" 1 callers_trial
