#!/usr/bin/env bash
# Installs what the project builds and tests with. Does nothing where all of it is there.
set -euo pipefail

packages=(
    libh2o-evloop-dev libhttp-parser-dev libnghttp2-dev libpopt-dev liblog4cxx-dev libboost1.81-dev
    librapidcheck-dev libtomlplusplus-dev nlohmann-json3-dev libprotobuf-dev protobuf-compiler
    libxxhash-dev libssl-dev libgtest-dev libbenchmark-dev
    g++ cmake ninja-build ccache clang-format clang-tidy wrk nghttp2-client curl git
)

if ! dpkg-query -W -f '${Status}\n' "${packages[@]}" 2>/dev/null | grep -qv 'ok installed' \
    && dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q --no-install-recommends "${packages[@]}"
