// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/digest.h>
#include <crosslink/base/time.h>
#include <crosslink/ports/peer.h>

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace crosslink
{

/// The claimed calls that this instance runs or has run, with their answers,
/// for retries that arrive at any instance. Limited in size: the oldest answers
/// are evicted first, and a retry of an evicted call learns that its outcome is
/// unknown.
class AnswerCache
{
public:
    /// `max_bytes` limits the total size of the kept bodies.
    explicit AnswerCache(std::uint64_t max_bytes);

    /// Records that the claimed call is running here.
    void begin(const Digest& key, const Digest& fingerprint);
    /// Stores the complete answer of the call.
    void finish(const Digest& key, PlainAnswer answer);
    /// Removes a call whose claim was released or whose outcome is unknown. A
    /// finished call is kept.
    void forget(const Digest& key);
    /// Returns what is known of the call.
    HeldAnswer find(const Digest& key) const;

private:
    void evict_oldest();

    const std::uint64_t m_max_bytes;
    std::uint64_t m_bytes = 0;
    std::unordered_map<Digest, HeldAnswer> m_answers;
    std::deque<Digest> m_order; ///< Finished calls, oldest first.
};

} // namespace crosslink
