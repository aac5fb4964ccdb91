#!/usr/bin/env bash
# Runs the case whose folder is the first argument: its program plays it and
# writes record.txt there. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
case_folder=$(cd "$1" && pwd)
cd "$case_folder/../.."
program=target/review-2/case-$(basename "$case_folder")
for file in "$program" target/review-2/backend_server target/mangoyoke-gateway
do
  if [ ! -x "$file" ]; then
    echo "$file is missing: build the deploy file, then review/build-2.sh"
    exit 2
  fi
done
TMPDIR=$(mktemp -d)
export TMPDIR
pid=
finish() {
  # All processes of the case end with its program.
  if [ -n "$pid" ]; then kill -TERM "$pid" 2>/dev/null; wait "$pid" 2>/dev/null; fi
  rm -rf "$TMPDIR"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout 118 "$program" "$case_folder/record.txt" &
pid=$!
wait "$pid"
code=$?
pid=
[ "$code" -le 1 ] || code=2
exit "$code"
