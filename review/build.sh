#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts in this folder into target/review/. Run the build of the deploy
# file first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. -include flamingoseam/http/cxxtools_allocator.hpp)
libs=(target/libflamingoseam.a -lcxxtools-http -lcxxtools -lgflags -lglog -lsodium -lpthread)
g++ "${flags[@]}" review/standins/worker.cc -o target/review/worker "${libs[@]}" &
worker=$!
g++ "${flags[@]}" review/standins/driver.cc standins/platform_store.cpp -o target/review/driver "${libs[@]}"
wait $worker
