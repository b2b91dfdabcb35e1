#!/bin/bash
# fuzz.sh NAME: builds tests/fuzz_NAME.c and runs it with a fixed seed for a fixed
# number of inputs, which RUNS may set (60000).
set -eu
cd "$(dirname "$0")/.."
name=$1
mkdir -p build-fuzz
corpus=$(mktemp -d)
trap 'rm -rf "$corpus"' EXIT
case $name in
message)
	sources="src/core/*.c src/edge/message_codec.c"
	# An empty message: version 1, a header of eight numbers, seven empty sections.
	printf '\xdc\x00\x10\x01\x02\x01\x01\x00\x00\x00\x00\x00\x90\x90\x90\x90\x90\x90\x90' >"$corpus/empty"
	;;
text)
	sources="src/settings/*.c"
	printf '{"services":[{"name":"m","kind":"model"}],"endpoints":[{"name":"e","service":"m","address":"127.0.0.1:1"}],"workspaces":[],"routes":[{"path":"/o*","service":"by-model"}]}' >"$corpus/config"
	printf '{"number":1,"change":"c","text":"t"}' >"$corpus/row"
	;;
events)
	sources="src/gateway/event_stream.c"
	printf '\x03id: 1\ndata: a\n\nid: 2\ndata: b\n\n' >"$corpus/two"
	;;
http)
	sources="src/edge/http_check.c src/edge/http_chunks.c src/edge/http_chars.c"
	printf '\x03HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 3\r\n\r\nabc' >"$corpus/length"
	printf '\x7fHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX-B: 2\r\n\r\n' >"$corpus/chunks"
	printf '\x0bHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12 \r\nabcdefghijklmnopqr\r\n00\r\n\r\n' >"$corpus/sizes"
	printf '\x05HTTP/1.0 404 Not Found\n\nabc' >"$corpus/close"
	printf '\x09HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n' >"$corpus/interim"
	printf '\x83POST /a HTTP/1.1\r\nHost: b\r\nContent-Length: 3\r\n\r\nabc' >"$corpus/request"
	printf '\xffPUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n' >"$corpus/upload"
	;;
decode)
	sources="platform/decode.c src/core/region_set.c src/core/warm_up.c src/core/rate_limit.c src/core/evacuation.c src/gateway/endpoint_warm_up.c src/core/allocator.c src/edge/log.c src/core/buffer_pool.c src/gateway/catalog.c src/gateway/endpoint_registry.c src/settings/*.c"
	printf '{"version":7,"routes":[{"name":"r","host":"shop.example","prefix":"/a/","kind":"streaming","timeoutMs":12000,"maxAttempts":2,"resumable":true,"allowedRegions":["a","b"],"backends":[{"service":"m","weight":9}]}],"services":[{"name":"m","maxConns":9,"coldStartS":3.5,"coldPerS":12,"engine":{"slots":2,"kvCapacity":9,"stride":7}}],"limits":{"maxHeaderBytes":9},"tenants":[{"name":"w","apiKeys":["k"]}]}' >"$corpus/config"
	printf '{"service":"m","address":"1.2.3.4:5","zone":"z","slots":2,"state":"ready","coldRemainingMs":1500,"born":7}' >"$corpus/entry"
	;;
rows)
	sources="platform/decode.c platform/row_store.c src/core/region_set.c src/core/warm_up.c src/core/rate_limit.c src/core/evacuation.c src/gateway/endpoint_warm_up.c src/core/buffer_pool.c src/gateway/catalog.c src/gateway/endpoint_registry.c src/gateway/store.c src/gateway/row_cache.c src/gateway/roster.c src/gateway/origin_rows.c src/core/stream_origins.c src/core/allocator.c src/edge/http_call.c src/edge/http_response.c src/edge/http_check.c src/edge/http_chunks.c src/edge/http_chars.c src/edge/clock.c src/edge/log.c src/settings/*.c"
	printf '{"rows":[{"table":"servers","part":"","key":"a","value":"e30=","ver":3},{"key":"b","deleted":true,"ver":4}],"ver":4,"hasMore":false}' >"$corpus/response"
	printf '{"service":"m","address":"1.2.3.4:5","zone":"z","slots":2,"state":"ready","coldRemainingMs":1500,"born":7}' >"$corpus/entry"
	printf '{"address":"1.2.3.4:5","public_key":"0123456789012345678901234567890123456789","failure_domain":"z","incarnation":7}' >"$corpus/router"
	;;
note)
	sources="src/edge/entry_codec.c src/core/region_set.c src/core/allocator.c"
	printf '\x95\x01\x02\x03\x04\x00\x94\x02\x05\x06\x00\x94\x0f\x07\x08\x09' >"$corpus/entries"
	;;
esac
clang -std=gnu11 -g -O1 -D_GNU_SOURCE -Isrc -I. -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined \
	$(pkg-config --cflags glib-2.0 libcurl libuv) -o build-fuzz/$name tests/fuzz_$name.c $sources \
	$(pkg-config --libs glib-2.0 yajl libxxhash libcurl neon) -lhttp_parser -lmsgpackc -lurcu-bp -lurcu-common -lm
build-fuzz/$name -runs="${RUNS:-60000}" -seed=1 -max_len=4096 -verbosity=0 "$corpus"
echo "fuzz $name: ${RUNS:-60000} inputs"
