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

/// The known state of one link.
struct LinkState {
    std::string store;
    double bytes_per_second = 0;       ///< Estimated from fetches.
    std::uint64_t bytes_in_flight = 0; ///< Bytes being fetched.
    std::uint64_t fetched = 0;         ///< Bytes of all completed fetches.
};

/// The links over which kept KV blocks are fetched, one per store: their
/// measured speeds and the bytes in flight.
class LinkTable
{
public:
    /// Records the start of a fetch, and its end. `whole`: the fetch completed;
    /// the speed is updated from completed fetches only.
    void begin(std::string_view store, std::uint64_t bytes);
    void end(std::string_view store, std::uint64_t bytes, Micros took,
             bool whole);

    /// Returns the expected time to fetch `bytes` from `store` in addition to
    /// those in flight.
    Micros expected(std::string_view store, std::uint64_t bytes) const;
    /// Returns the bytes of all completed fetches from `store`.
    std::uint64_t fetched(std::string_view store) const;
    /// Returns all links.
    std::vector<LinkState> states() const;
    /// Returns the estimated speed in bytes per second.
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
