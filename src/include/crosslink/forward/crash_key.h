// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <string>
#include <string_view>

namespace crosslink
{

/// Returns the key under which CrashHistory remembers the part of a prompt with
/// the id `part`; that of a whole request is request_digest(). Accounts that
/// send the same part share its key. The parts of an account that shares
/// nothing with others are its own: `isolated_account` is its name, and empty
/// for all other accounts.
std::string part_crash_key(std::string_view part,
                           std::string_view isolated_account);

/// Returns whether `key` is that of a part.
bool is_part_key(std::string_view key);

} // namespace crosslink
