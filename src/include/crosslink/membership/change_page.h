// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/store_position.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crosslink
{

/// Largest age of changes that are in time: older ones come from an instance
/// that has lost contact with the platform or its own parent. The coordinator
/// gets an answer of the platform every 0.4 s, and each of up to three
/// exchanges adds 0.15 s or less; a change must be in force within two seconds.
constexpr Micros max_changes_age = std::chrono::milliseconds(1200);

/// One key of the platform's store as it was written, in the platform's own
/// format: instances pass it on without parsing it.
struct KeyChange {
    std::string key;
    std::optional<std::string> value; ///< Nothing where the key was removed.
    /// Revision of the store at this change, in the era of its page.
    std::uint64_t revision = 0;
};

/// Changes of the platform's store in the order in which they were made.
/// Positions are those of the store, so pages from different sources can be
/// combined.
struct ChangePage {
    /// Revision, in the era of `position`, that the page continues from.
    std::uint64_t since = 0;
    StorePosition position;   ///< Up to which the page is complete.
    bool is_snapshot = false; ///< Holds the whole store; ignore `since`.
    std::vector<KeyChange> entries;
    /// The entries of a large snapshot as they are sent, compressed, in place
    /// of `entries`; null otherwise.
    std::shared_ptr<const std::string> packed{};
};

} // namespace crosslink
