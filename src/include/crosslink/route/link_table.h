// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// One link as it is known.
struct LinkState {
    std::string store;
    double bytes_per_second = 0;       ///< As learned.
    std::uint64_t bytes_in_flight = 0; ///< Bytes being fetched.
    std::uint64_t fetched = 0;         ///< Bytes fetched whole so far.
};

/// What is known of the links over which kept KV is fetched, one per store:
/// their speed as measured, and the bytes that are on their way.
class LinkTable
{
public:
    /// Takes note of a fetch that begins, and of its end. `speed` is learned
    /// only from fetches that ended whole.
    void begin(std::string_view store, std::uint64_t bytes);
    void end(std::string_view store, std::uint64_t bytes, Micros took,
             bool whole);

    /// Returns the expected time to fetch `bytes` more from `store`.
    Micros expected(std::string_view store, std::uint64_t bytes) const;
    /// Returns the bytes fetched whole from `store` so far.
    std::uint64_t fetched(std::string_view store) const;
    /// Returns all links.
    std::vector<LinkState> states() const;
    /// Returns the learned speed in bytes a second.
    double speed(std::string_view store) const;

private:
    struct Link {
        double bytes_per_second;
        std::uint64_t bytes_in_flight = 0;
        std::uint64_t fetched = 0;
    };

    Link& link(std::string_view store);

    std::map<std::string, Link, std::less<>> m_links;
};

} // namespace crosslink
