#!/usr/bin/env bash
# Builds the stand-ins and the trials of the review into target/review/. Needs
# only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for trial in review/[0-9]*/*trial.cc; do
  number=$(basename "$(dirname "$trial")")
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -I. "$trial" review/standins/*.cc \
    -o "target/review/$number-$(basename "$trial" .cc)" -pthread
done
