#!/bin/bash
# Builds the stand-ins of the cases; the programs are built by the deploy file's line.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
gcc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter -o target/review/rig review/rig.c -lpthread
