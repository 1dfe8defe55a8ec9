// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstdint>
#include <string>

namespace crosslink
{

/// The state of an entry instance, as others see it.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer; dead unless it refutes the suspicion.
    Leaving, ///< Announced its planned stop.
    Dead,    ///< Gone; kept for a while so that stale updates can't revive it.
};

/// One entry instance as the others know it.
struct Member {
    std::string id;                ///< Unique for each start of an instance.
    std::string address;           ///< "ip:port" for peers.
    std::string zone;              ///< Availability zone.
    std::uint64_t incarnation = 0; ///< Incremented by the member itself only.
    MemberState state = MemberState::Alive;
    std::uint64_t revision = 0; ///< Configuration in force there, as reported.
};

} // namespace crosslink
