#!/bin/sh
# Builds what the scripts of review/6 and review/7 start, beside the program of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7; do
	gcc -std=gnu11 -O1 -Wall -o "target/review-2/$(basename "$case")" "$case/case.c" \
		review/rig-2.c -lpthread
done
