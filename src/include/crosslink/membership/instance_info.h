// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <string>

namespace crosslink
{

/// An entry instance as it lists itself for the others.
struct InstanceInfo {
    std::string name;
    std::string address;  ///< "ip:port" for its peers.
    std::string zone;     ///< Availability zone.
    double link_mbps = 0; ///< Of its network link.
};

} // namespace crosslink
