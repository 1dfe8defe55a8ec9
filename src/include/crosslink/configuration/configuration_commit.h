// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/configuration/configuration_head.h>
#include <crosslink/ports/platform.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace crosslink
{

/// The head of the configuration with the version of its record at the
/// platform.
struct HeadRecord {
    ConfigurationHead head;    ///< Revision 0 before the first apply.
    std::uint64_t version = 0; ///< 0: there is no record.
};

/// Reads the head from the platform.
HeadRecord read_head(Platform& platform);

/// Writes the parts, then replaces the head `base` by one that names them, by
/// compare and swap. Only the swap puts the change in force, so that a partial
/// change is never visible. Returns the new head. Throws
/// Error(RevisionConflict) where another change was committed first; nothing of
/// this one is in force then. Where an answer is lost, the head is read back
/// and searched for `change.change_id`.
ConfigurationHead
commit_configuration(Platform& platform, const HeadRecord& base,
                     const std::map<std::string, std::string>& parts,
                     const ConfigurationChange& change);

/// Removes the parts that neither `head` nor `before` names.
void remove_old_parts(Platform& platform, const ConfigurationHead& head,
                      const ConfigurationHead& before);

} // namespace crosslink
