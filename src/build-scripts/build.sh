#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Builds into the folder $1; further arguments go to cmake.
set -eu
cd "$(dirname "$0")/../.."
folder="$1"
shift
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
ninja -C "$folder"
