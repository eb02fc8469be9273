#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2/. Run it after
# the build of the deploy file, whose libraries it links; it needs no other packages.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p $out
flags=(-std=c++20 -O2 -I. -include flamingoseam/http/cxxtools_allocator.hpp)
read -ra found < <(pkg-config --cflags capnp-rpc libsodium libglog)
flags+=("${found[@]}")
read -ra libraries < <(pkg-config --libs capnp-rpc libsodium libglog)
libraries=(target/libflamingoseam_platform.a target/libflamingoseam.a
    target/libflamingoseam_peer_messages.a "${libraries[@]}" -lgflags -lprometheus-cpp-pull
    -lprometheus-cpp-core -lcxxtools-http -lcxxtools -lpthread)
build() {
    local program=$1
    shift
    g++ "${flags[@]}" -o "$out/$program" "$@" "${libraries[@]}"
}
build platform standins/platform_main.cpp standins/platform_store.cpp \
    standins/platform_worker.cpp standins/store_view.cpp standins/base64.cpp &
first=$!
build link standins/link_main.cpp &
second=$!
build worker review/standins-2/worker.cc standins/platform_worker.cpp
wait $first
wait $second
echo "the stand-ins are in $out"
