#!/bin/bash
# fuzz.sh NAME: builds and runs tests/fuzz_NAME.c for a fixed number of rounds
# from a fixed seed.  RUNS sets the number.
set -eu
cd "$(dirname "$0")/.."
name=$1
mkdir -p build-fuzz
corpus=$(mktemp -d)
trap 'rm -rf "$corpus"' EXIT
case $name in
message)
	sources="src/core/*.c src/edge/message_codec.c"
	# An empty message: version 1, a head of eight numbers, seven empty sections.
	printf '\xdc\x00\x10\x01\x02\x01\x01\x00\x00\x00\x00\x00\x90\x90\x90\x90\x90\x90\x90' >"$corpus/empty"
	;;
text)
	sources="src/settings/*.c"
	printf '{"services":[{"name":"m","kind":"model"}],"endpoints":[{"name":"e","service":"m","address":"127.0.0.1:1"}],"workspaces":[],"routes":[{"path":"/o*","service":"by-model"}]}' >"$corpus/text"
	printf '{"number":1,"change":"c","text":"t"}' >"$corpus/row"
	;;
esac
clang -std=gnu11 -g -O1 -D_GNU_SOURCE -Isrc -I. -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined \
	$(pkg-config --cflags glib-2.0) -o build-fuzz/$name tests/fuzz_$name.c $sources \
	$(pkg-config --libs glib-2.0 yajl libxxhash) -lmsgpackc -lurcu-bp -lurcu-common
build-fuzz/$name -runs="${RUNS:-60000}" -seed=1 -max_len=4096 -verbosity=0 "$corpus"
echo "fuzz $name: ${RUNS:-60000} rounds"
