// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/digest.h>
#include <crosslink/base/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// One accepted change, kept in the head for `template history`.
struct ConfigurationChange {
    std::uint64_t revision = 0;
    std::string change_id; ///< Unique; set by the operator's tool.
    std::string author;    ///< Who applied it, as given to the tool.
    UnixMillis applied_at = 0;
};

/// The one value that selects the configuration: it names the parts by their
/// digests, so that a partial apply is never visible.
struct ConfigurationHead {
    std::uint64_t revision = 0;               ///< Grows by one per change.
    std::map<std::string, Digest> parts;      ///< Part name to SHA-256 of it.
    std::vector<ConfigurationChange> history; ///< Newest last, bounded.

    /// Returns the change that made this revision, or null for revision 0.
    const ConfigurationChange* latest() const;
    /// Returns true where `change_id` is in the history.
    bool has_change(std::string_view change_id) const;
    /// Returns the head that follows this one.
    ConfigurationHead next(std::map<std::string, Digest> new_parts,
                           ConfigurationChange change) const;

    std::string to_json() const;
    /// Throws Error(TemplateInvalid) where `text` is not a head.
    static ConfigurationHead from_json(std::string_view text);
};

/// Key of the head in the platform's store.
inline constexpr std::string_view configuration_head_key =
    "crosslink/configuration/head";
/// Returns the platform key of the part with this digest.
std::string configuration_part_key(const Digest& digest);
/// Prefix of all part keys.
inline constexpr std::string_view configuration_part_prefix =
    "crosslink/configuration/part/";

} // namespace crosslink
