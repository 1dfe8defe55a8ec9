// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/crash_key.h>
#include <crosslink/forward/request_digest.h>

#include <array>

namespace crosslink
{

namespace
{

/// No digest begins with it.
constexpr char part_prefix = 'p';

} // namespace

std::string
part_crash_key(std::string_view part, std::string_view isolated_account)
{
    const std::array<std::string_view, 2> texts{part, isolated_account};
    return part_prefix + digest_of_parts(texts);
}

bool
is_part_key(std::string_view key)
{
    return !key.empty() && key.front() == part_prefix;
}

} // namespace crosslink
