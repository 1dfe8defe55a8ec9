// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <string>
#include <string_view>

namespace crosslink
{

/// Keys under which CrashHistory remembers what runners ended under: the digest
/// of a whole request (see request_digest()), or a part of a prompt.

/// Returns the key of the part of a prompt with the id `part`. Accounts that
/// send the same part share its key. The parts of an account that shares
/// nothing with others are its own: `isolated_account` is its name, and empty
/// for all other accounts.
std::string part_crash_key(std::string_view part,
                           std::string_view isolated_account);

/// Returns whether `key` is that of a part.
bool is_part_key(std::string_view key);

} // namespace crosslink
