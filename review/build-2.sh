#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2/.
# Needs the compiler and the JSON library of the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
lab=(review/standins-2/{net,store,lab,poison}.cc)
g++ "${flags[@]}" review/standins-2/{net,backend_server}.cc \
  -o "$out/backend_server"
for source in review/{6,7,8,9,10}/case.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "${lab[@]}" "$source" -o "$out/case-$number"
done
