// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/instance_info.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// Which software began a stream. What two versions of a service's software
/// write does not fit together, so that a stream goes on only at the version
/// that began it.
struct StreamOrigin {
    std::string stream; ///< See stream_key().
    std::string service;
    std::string software; ///< See ListedRunner.
    /// How many runners its first attempt was sent to. The last one of them
    /// began it.
    std::uint32_t sends = 0;
    /// Stands for `sends` where the stream has events: it is sent to no other
    /// software any more.
    static constexpr std::uint32_t final_sends =
        std::numeric_limits<std::uint32_t>::max();
    Micros age{0}; ///< Since the last of them.
};

/// Returns the key of the stream that the attempt `attempt_id` of `account`
/// began. It reveals neither.
std::string stream_key(std::string_view account, std::string_view attempt_id);

/// Returns the instances that remember the origin of `stream`: of different
/// zones as far as possible. All instances that know the same ones choose the
/// same.
std::vector<InstanceInfo>
stream_homes(const std::map<std::string, InstanceInfo, std::less<>>& instances,
             std::string_view stream);

/// Returns the least time between two records of an instance's streams at the
/// platform, where all `instances` together may write `writes_per_second`.
Micros stream_record_pause(std::size_t instances, double writes_per_second);
/// As above, between two readings of the records of all instances, where they
/// may read `reads_per_second`.
Micros stream_reading_pause(std::size_t instances, double reads_per_second);

/// The origins that an instance remembers: of the streams that it began, and of
/// those that others told it of.
class StreamOrigins
{
public:
    /// How long an origin is remembered: longer than a caller waits for one
    /// stream, all tries included.
    static constexpr Micros lifetime = std::chrono::seconds(30);
    /// Maximum number of origins; the oldest is dropped first.
    static constexpr std::size_t max_origins = 16'384;
    /// Number of instances that remember an origin besides the one that began
    /// the stream.
    static constexpr std::size_t homes = 3;
    /// Maximum number of streams in a record.
    static constexpr std::size_t max_recorded = 8'192;

    /// Records an origin of this instance, which is to be told to its homes.
    void note(const StreamOrigin& origin, TimePoint now);
    /// Records that a caller has events of a stream that `origin` began, and
    /// gets the rest of them from this instance: the caller may take it up.
    void began(StreamOrigin origin, TimePoint now);
    /// Records that the caller of a stream has all of it.
    void ended(const std::string& stream);
    /// Records an origin that another instance told.
    void merge(const StreamOrigin& origin, TimePoint now);
    /// Returns the origin of a stream, with its age at `now`; nothing if it is
    /// not known.
    std::optional<StreamOrigin> find(std::string_view stream,
                                     TimePoint now) const;
    /// Returns the origins of this instance's streams of services for which
    /// `wanted` is true that were not returned yet, `most` at most.
    std::vector<StreamOrigin>
    take_untold(const std::function<bool(std::string_view)>& wanted,
                std::size_t most, TimePoint now);
    /// Returns the origins of this instance's streams that callers may take up,
    /// of services for which `wanted` is true, `max_recorded` at most. Nothing
    /// if none of them began since they were recorded.
    std::optional<std::vector<StreamOrigin>>
    to_record(const std::function<bool(std::string_view)>& wanted,
              TimePoint now);
    /// Records that the platform has a record of these origins.
    void recorded(std::span<const StreamOrigin> origins);
    /// Returns all origins.
    std::vector<StreamOrigin> all(TimePoint now) const;
    std::size_t size() const { return m_origins.size(); }

private:
    struct Known {
        StreamOrigin origin;
        TimePoint sent_at{};
    };
    /// An entry of m_order or m_untold; outdated where the stream was sent
    /// again since.
    struct Place {
        std::string stream;
        TimePoint sent_at{};
    };

    static StreamOrigin as_of(const Known& known, TimePoint now);
    bool put(const StreamOrigin& origin, TimePoint now);
    void expire(TimePoint now);
    void drop(const std::string& stream);

    std::map<std::string, Known, std::less<>> m_origins; ///< By stream.
    std::deque<Place> m_order;                           ///< As recorded.
    std::deque<std::string> m_untold;                    ///< Streams.
    /// Streams of this instance that callers may take up.
    std::set<std::string, std::less<>> m_open;
    std::set<std::string, std::less<>> m_unrecorded; ///< Of m_open.
};

} // namespace crosslink
