#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Installs what crosslink builds with, from Debian's archive.
set -eu
packages="g++ cmake ninja-build ccache clang-format clang-tidy python3
    libpoco-dev libjsonrpccpp-dev libjsoncpp-dev libboost-dev libcli11-dev
    libspdlog-dev libssl-dev libxxhash-dev catch2 libtrompeloeil-cpp-dev
    librapidcheck-dev"
missing=""
for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q "ok installed" || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
as_root=""
[ "$(id -u)" -eq 0 ] || as_root="sudo"
$as_root apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -q -y \
    --no-install-recommends $missing
