#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Sets up, builds, and passes the tests.
set -eu
cd "$(dirname "$0")/../.."
src/build-scripts/setup.sh
src/build-scripts/build.sh build -DCROSSLINK_WERROR=ON
src/build-scripts/run_tests.sh build -j 4
