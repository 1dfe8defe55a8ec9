// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "random.h"

#include <cstdio>
#include <random>

namespace crosslink
{

std::uint64_t
random_bits()
{
    thread_local std::mt19937_64 engine{[] {
        std::random_device device;
        return std::uint64_t{device()} << 32U | device();
    }()};
    return engine();
}

std::string
random_name()
{
    constexpr std::size_t digits = 24;
    char text[33];
    std::snprintf(text, sizeof text, "%016llx%016llx",
                  static_cast<unsigned long long>(random_bits()),
                  static_cast<unsigned long long>(random_bits()));
    return std::string(text, digits);
}

} // namespace crosslink
