// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/claim/claim.h>
#include <crosslink/configuration/configuration_head.h>
#include <crosslink/membership/gossip.h>
#include <crosslink/ports/plain_service.h>
#include <crosslink/ports/platform.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The state of a claimed call at the peer that holds its claim.
struct HeldAnswer {
    enum class State { Unknown, Running, Finished };
    State state = State::Unknown;
    /// SHA-256 of the call that used the key: another call with the same key
    /// must not get this answer.
    Digest fingerprint;
    PlainAnswer answer; ///< Set if the state is Finished.
};

/// An instance's copy of the upstreams in the platform's list.
struct UpstreamList {
    std::vector<ListedInstance> upstreams; ///< Ordered by address.
    Digest digest; ///< Of `upstreams`; all zero before the first list.
    Micros age{0}; ///< Time since the list was read from the platform.
};

/// Another entry instance. Calls throw Error(PeerUnavailable).
class Peer
{
public:
    virtual ~Peer() = default;

    /// Exchanges membership updates and revisions.
    virtual GossipMessage gossip(const GossipMessage& message) = 0;
    /// Asks the peer, the preferred committer of `slice`, to commit claims.
    virtual std::vector<ClaimVerdict>
    commit_claims(std::uint32_t slice, std::span<const Claim> claims) = 0;
    /// Returns the state of the claimed call with `key`, and its answer if it
    /// has finished.
    virtual HeldAnswer answer_of(const Digest& key) = 0;
    /// Returns the peer's configuration head; std::nullopt before its first
    /// one.
    virtual std::optional<ConfigurationHead> configuration_head() = 0;
    /// Returns one part of the configuration; std::nullopt if the peer does not
    /// have it.
    virtual std::optional<std::string>
    configuration_part(const Digest& digest) = 0;
    /// Returns the peer's list of upstreams; `upstreams` is left empty if its
    /// digest is `have`.
    virtual UpstreamList upstream_list(const Digest& have) = 0;
};

} // namespace crosslink
