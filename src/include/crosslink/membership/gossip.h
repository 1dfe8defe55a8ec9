// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/membership/member.h>

#include <cstdint>
#include <string>
#include <vector>

namespace crosslink
{

/// A mark that an upstream leaves or is gone, told between instances.
struct LeavingMark {
    std::string upstream; ///< Address of the upstream.
    std::uint64_t expires_in_ms = 0;
};

/// What two members tell each other in one exchange.
struct GossipMessage {
    Member sender;
    std::vector<Member> news;       ///< Members that changed; bounded.
    std::vector<LeavingMark> marks; ///< Upstreams that leave; bounded.
};

} // namespace crosslink
