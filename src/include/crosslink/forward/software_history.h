// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// How many listed runners each software version has, by service and version.
using SoftwareCounts =
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>,
             std::less<>>;

/// A software version of a service.
struct ServedSoftware {
    std::string service;
    std::string software; ///< See ListedRunner.

    bool operator==(const ServedSoftware&) const = default;
    /// Returns the id of its record at the platform.
    std::string record_id() const;
};

/// Which software versions the runners of each service had lately: those that
/// this instance saw in the list, and those that the platform has recorded. The
/// record outlives all instances.
class SoftwareHistory
{
public:
    /// Records what is listed at `now`. To be called before and after each
    /// change of the list.
    void observe(const SoftwareCounts& listed, TimePoint now);
    /// Records that the platform has a record of `served`, as learned at `now`.
    void recorded(const ServedSoftware& served, TimePoint now);
    /// Records that the platform has no record `id`.
    void unrecorded(const std::string& id);
    /// Records that the platform's store, which came back from a copy, has no
    /// record `id` any more: it holds, and is to be written again.
    void record_lost(const std::string& id);
    /// Records that the platform has no records but those with `ids`.
    void recorded_only(const std::set<std::string>& ids);

    /// Returns whether a stream of `service` that a caller takes up at `now`
    /// may have begun at another version than a runner has: two were listed
    /// within StreamOrigins::lifetime, or are recorded.
    bool several(std::string_view service, TimePoint now) const;
    /// Returns the only version that was listed within StreamOrigins::lifetime
    /// or is recorded; nothing if there are none, or several.
    std::optional<std::string> only(std::string_view service,
                                    TimePoint now) const;
    /// Returns the services for which several() holds.
    std::set<std::string, std::less<>> mixed(TimePoint now) const;

    /// Returns the versions that were listed lately and are not recorded, and
    /// those whose record was lost.
    std::vector<ServedSoftware> to_record(TimePoint now) const;
    /// Returns the ids of records of versions that were not listed within
    /// StreamOrigins::lifetime, nor were recorded anew.
    std::vector<std::string> to_unrecord(TimePoint now) const;

private:
    /// A record at the platform.
    struct Record {
        ServedSoftware served;
        TimePoint learned_at{};
        bool is_lost = false; ///< See record_lost().
    };

    std::set<std::string_view> versions(std::string_view service,
                                        TimePoint now) const;
    bool was_listed(const ServedSoftware& served, TimePoint now) const;

    /// When each version was listed last, by service and version.
    std::map<std::string, std::map<std::string, TimePoint, std::less<>>,
             std::less<>>
        m_listed_at;
    std::map<std::string, Record> m_records; ///< By id.
};

} // namespace crosslink
