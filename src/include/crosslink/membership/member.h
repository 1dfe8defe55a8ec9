// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstdint>
#include <string>

namespace crosslink
{

/// What is believed of an entry instance.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer; dead unless it refutes.
    Leaving, ///< Told its planned stop.
    Dead,    ///< Gone; kept for a while so that old news can't revive it.
};

/// One entry instance as the others know it.
struct Member {
    std::string id;                ///< Unique for each start of an instance.
    std::string address;           ///< "ip:port" for peers.
    std::string zone;              ///< Availability zone.
    std::uint64_t incarnation = 0; ///< Raised by the member itself only.
    MemberState state = MemberState::Alive;
    std::uint64_t revision = 0; ///< Configuration in force there, as told.
};

} // namespace crosslink
