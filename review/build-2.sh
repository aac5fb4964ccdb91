#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2/.
# Needs the compiler and the JSON library of the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile=("${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread)
objects=()
for part in net store lab poison; do
  "${compile[@]}" -c "review/standins-2/$part.cc" -o "$out/$part.o"
  objects+=("$out/$part.o")
done
"${compile[@]}" review/standins-2/backend_server.cc "$out/net.o" \
  -o "$out/backend_server"
for source in review/{6,7,8,9,10}/case.cc; do
  number=$(basename "$(dirname "$source")")
  "${compile[@]}" "$source" "${objects[@]}" -o "$out/case-$number"
done
