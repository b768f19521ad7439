#!/bin/sh
# Builds the stand-ins of this review into target/review-2/. The packages of
# deploy/system.toml suffice.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/6/standin.cc \
  -o target/review-2/standin
