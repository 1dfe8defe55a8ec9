// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <string>

namespace crosslink
{

/// The record that an entry instance publishes about itself for the others.
struct InstanceInfo {
    std::string name;
    std::string address;  ///< "ip:port" for its peers.
    std::string zone;     ///< Availability zone.
    double link_mbps = 0; ///< Speed of its network link in Mbit/s.
};

} // namespace crosslink
