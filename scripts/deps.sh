#!/bin/bash
# Installs the Debian packages that the build, the tests and the linter need.
set -eu
packages="gcc make pkg-config liburcu-dev libzmq3-dev libmicrohttpd-dev libneon27-dev libcurl4-openssl-dev
libglib2.0-dev libyajl-dev libmsgpack-dev libxxhash-dev libuv1-dev libhttp-parser-dev libcmocka-dev clang libclang-rt-14-dev clang-format clang-tidy
cppcheck curl procps"
missing=""
for p in $packages; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
