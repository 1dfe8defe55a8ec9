// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/membership/member.h>

#include <cstdint>
#include <string>
#include <vector>

namespace crosslink
{

/// Marks an upstream as leaving or gone; exchanged between instances.
struct LeavingMark {
    std::string upstream; ///< Address of the upstream.
    std::uint64_t expires_in_ms = 0;
};

/// The message that each of two members sends in an exchange.
struct GossipMessage {
    Member sender;
    std::vector<Member> news; ///< Members that changed; limited in number.
    std::vector<LeavingMark> marks; ///< Leaving upstreams; limited in number.
};

} // namespace crosslink
