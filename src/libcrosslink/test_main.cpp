// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
