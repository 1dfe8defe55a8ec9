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
/// for retries that land anywhere. Bounded: the oldest answers go first, and a
/// retry then learns that the outcome is unknown.
class AnswerCache
{
public:
    /// `most_bytes` bounds the bodies that are kept.
    explicit AnswerCache(std::uint64_t most_bytes);

    /// Takes note that the claimed call is being run here.
    void begin(const Digest& key, const Digest& fingerprint);
    /// Keeps the whole answer.
    void finish(const Digest& key, PlainAnswer answer);
    /// Forgets a call whose claim was given back or whose outcome is unknown.
    void forget(const Digest& key);
    /// Returns what is known of the call.
    HeldAnswer find(const Digest& key) const;

private:
    void drop_oldest();

    const std::uint64_t m_most_bytes;
    std::uint64_t m_bytes = 0;
    std::unordered_map<Digest, HeldAnswer> m_answers;
    std::deque<Digest> m_order; ///< Finished ones, oldest first.
};

} // namespace crosslink
