// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

/// How many listed runners each software version has, by service and version.
using SoftwareCounts =
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>,
             std::less<>>;

/// Which software versions the runners of each service had lately.
class SoftwareHistory
{
public:
    /// Records what is listed at `now`. To be called before and after each
    /// change of the list.
    void observe(const SoftwareCounts& listed, TimePoint now);
    /// Returns whether a stream of `service` that a caller takes up at `now`
    /// may have begun at another version than a runner has: two were listed
    /// within StreamOrigins::lifetime.
    bool several(std::string_view service, TimePoint now) const;

    /// Returns whether that holds for any service.
    bool any_several(TimePoint now) const;

private:
    /// When each version was listed last, by service and version.
    std::map<std::string, std::map<std::string, TimePoint, std::less<>>,
             std::less<>>
        m_listed_at;
};

} // namespace crosslink
