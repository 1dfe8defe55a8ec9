#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Sets up, builds, and serves a returning prompt on the stand-ins.
set -eu
cd "$(dirname "$0")/../.."
src/build-scripts/setup.sh
src/build-scripts/build.sh build
python3 src/build-scripts/demo.py build
