#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. The build of
# the deploy file comes first; it places the daemon into target/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case-*.cpp; do
  name="$(basename "$source" .cpp)"
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review-3/$name" "$source"
done
