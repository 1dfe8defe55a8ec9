// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink::standins
{

/// What a fault order does to the calls it meets.
enum class FaultKind {
    Delay,       ///< Handle it, but `ms` later.
    Freeze,      ///< Hold it until the fault is cleared.
    Refuse,      ///< Answer 503 without any effect.
    DropRequest, ///< Close the connection without any effect.
    DropAnswer,  ///< Take effect, then close the connection.
    FailAfter,   ///< Take effect, then answer a bare 503.
    CutAnswer,   ///< Take effect, then send half of the answer.
};

/// One fault order, as it came over HTTP.
struct Fault {
    std::string path; ///< Prefix of the paths that it meets.
    FaultKind kind = FaultKind::Delay;
    std::uint32_t ms = 0;    ///< Its delay, or the backoff of a refusal.
    std::uint32_t skip = 0;  ///< Calls that pass before the first one met.
    std::uint32_t count = 0; ///< Calls it meets; 0: until cleared.
};

/// Holds the fault orders of one stand-in. Safe for many threads.
class FaultSwitch
{
public:
    /// Adds the order {"path", "kind", "ms", "skip", "count"}.
    void add(const Json::Value& order);
    /// Lifts all orders.
    void clear();
    /// Returns the fault that meets this call, if any, and counts it.
    std::optional<Fault> meets(std::string_view path);
    /// Returns once all orders were lifted after the call of it.
    void wait_for_clear();

private:
    std::mutex m_mutex;
    std::vector<Fault> m_faults;
    std::uint64_t m_clears = 0;
};

} // namespace crosslink::standins
