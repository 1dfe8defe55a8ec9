// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_entry.h>

namespace crosslink
{

std::uint64_t
RunnerEntry::version_of(std::string_view model) const
{
    for (const LoadedModel& loaded : listed.models)
        if (loaded.model == model)
            return loaded.version;
    return 0;
}

} // namespace crosslink
