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

/// What a peer knows of a claimed call that it holds.
struct HeldAnswer {
    enum class State { Unknown, Running, Finished };
    State state = State::Unknown;
    /// SHA-256 of the call that the key was used for: the same key on another
    /// call must not get this answer.
    Digest fingerprint;
    PlainAnswer answer; ///< Where finished.
};

/// The upstreams of the platform's list, as an instance knows them.
struct UpstreamList {
    std::vector<ListedInstance> upstreams; ///< Ordered by address.
    Digest digest; ///< Of the upstreams; all zero before the first list.
    Micros age{0}; ///< Since the list was read at the platform.
};

/// Another entry instance. Calls throw Error(PeerUnavailable).
class Peer
{
public:
    virtual ~Peer() = default;

    /// Exchanges membership news and revisions.
    virtual GossipMessage gossip(const GossipMessage& message) = 0;
    /// Asks the peer to commit claims of a slice that it is preferred for.
    virtual std::vector<ClaimVerdict>
    commit_claims(std::uint32_t slice, std::span<const Claim> claims) = 0;
    /// Asks for the kept answer of a claimed call.
    virtual HeldAnswer answer_of(const Digest& key) = 0;
    /// Returns the peer's head of the configuration; nothing before its first.
    virtual std::optional<ConfigurationHead> configuration_head() = 0;
    /// Returns one part of the configuration; nothing where it has it not.
    virtual std::optional<std::string>
    configuration_part(const Digest& digest) = 0;
    /// Returns the peer's list of upstreams; without the rows where they have
    /// the digest `have`.
    virtual UpstreamList upstream_list(const Digest& have) = 0;
};

} // namespace crosslink
