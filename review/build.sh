#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/2/main.cc -o target/review/standin
