#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the cases 11 to 15 into
# target/review-3/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
compile() {  # SOURCE OBJECT
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -Ireview/standins-3 -c "$1" -o "$2"
}
objects=()
pids=()
for source in review/standins-3/*.cc; do
  object="$out/$(basename "$source" .cc).o"
  objects+=("$object")
  compile "$source" "$object" &
  pids+=($!)
done
for case in review/1[1-5]/; do
  if [ -f "${case}scenario.cc" ]; then
    compile "${case}scenario.cc" "$out/$(basename "$case").o" &
    pids+=($!)
  fi
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for case in review/1[1-5]/; do
  number="$(basename "$case")"
  if [ -f "${case}scenario.cc" ]; then
    g++ "$out/$number.o" "${objects[@]}" -o "$out/scenario-$number" -pthread
  fi
done
