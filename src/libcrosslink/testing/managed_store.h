// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/service_map.h>

#include <cstdint>
#include <string>

namespace crosslink::testing
{

/// A store of kept parts that drops nothing by itself.
inline KeptStoreInfo
managed_store(const std::string& address, std::uint64_t tokens, double speed)
{
    KeptStoreInfo info;
    info.address = address;
    info.capacity_tokens = tokens;
    info.link_bytes_per_second = speed;
    info.managed = true;
    return info;
}

} // namespace crosslink::testing
