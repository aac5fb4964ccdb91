#!/usr/bin/env bash
# Builds the stand-ins and the trials of the review into target/review/. Needs
# only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rm -f target/review/*
compile=("${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -I. -pthread)
objects=()
for source in review/standins/*.cc; do
  object=target/review/$(basename "$source" .cc).o
  "${compile[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for trial in review/[0-9]*/*trial.cc; do
  number=$(basename "$(dirname "$trial")")
  "${compile[@]}" "$trial" "${objects[@]}" \
    -o "target/review/$number-$(basename "$trial" .cc)" &
done
wait
# "wait" alone doesn't tell of failures.
for trial in review/[0-9]*/*trial.cc; do
  test -x "target/review/$(basename "$(dirname "$trial")")-$(basename "$trial" .cc)"
done
