// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/runner_entry.h>

#include <algorithm>
#include <span>

namespace crosslink
{

namespace
{

std::uint64_t
version_in(std::span<const LoadedModel> models, std::string_view model)
{
    for (const LoadedModel& loaded : models)
        if (loaded.model == model)
            return loaded.version;
    return 0;
}

} // namespace

std::uint64_t
RunnerEntry::version_of(std::string_view model) const
{
    const std::uint64_t version = version_in(listed.models, model);
    return version == 0 ? 0
                        : std::max(version, version_in(reported_models, model));
}

} // namespace crosslink
