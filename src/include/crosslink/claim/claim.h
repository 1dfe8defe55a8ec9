// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/digest.h>
#include <crosslink/base/time.h>

#include <cstdint>
#include <string>

namespace crosslink
{

/// The right to dispatch a call that must not be repeated, once.
struct Claim {
    Digest key;         ///< Digest of account, service and idempotency key.
    std::string id;     ///< Unique for each request for a claim.
    std::string holder; ///< Peer address of the requesting instance.
    UnixMillis key_time = 0; ///< When the caller created the key.
};

/// The answer to a request for a claim.
struct ClaimVerdict {
    enum class Kind {
        Granted, ///< The claim with this id is the first for the key.
        Held,    ///< Another claim has the key; see `holder`.
        Expired, ///< The key is older than the age limit.
    };
    Kind kind = Kind::Held;
    std::string holder; ///< Where Held: peer address of that instance.
};

} // namespace crosslink
