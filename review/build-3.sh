#!/bin/sh
# Builds the programs of review/11 to review/15 into target/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/libstandin.a target/libinternal.a
packages="neon libcurl libmicrohttpd libzmq glib-2.0 yajl libxxhash libuv"
for source in review/1[1-5]/case.c; do
	number=$(basename "$(dirname "$source")")
	gcc -std=gnu11 -O2 -g -D_GNU_SOURCE -Wall -Wextra -Wno-unused-parameter -Isrc -I. \
		$(pkg-config --cflags $packages) -o "target/review-3-$number" \
		"$source" review/rig-3.c target/libstandin.a target/libinternal.a \
		$(pkg-config --libs $packages) -lhttp_parser -lmsgpackc -lurcu-bp -lurcu-common \
		-lpthread -lm
done
