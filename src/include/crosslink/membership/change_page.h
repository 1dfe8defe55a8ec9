// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crosslink
{

/// One key of the platform's store as it was written, in the platform's own
/// form: instances hand it on unread.
struct KeyChange {
    std::string key;
    std::optional<std::string> value; ///< Nothing where the key is gone.
    std::uint64_t revision = 0;       ///< Of the store, at this change.
};

/// Changes of the platform's store in the order in which they were made.
/// Revisions are the store's, so that pages from any source fit together.
struct ChangePage {
    std::uint64_t since = 0;    ///< The revision that the page goes on from.
    std::uint64_t revision = 0; ///< The revision up to which it tells all.
    bool is_snapshot = false;   ///< All there is; `since` counts for nothing.
    std::vector<KeyChange> entries;
};

} // namespace crosslink
