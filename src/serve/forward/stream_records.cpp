// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "stream_records.h"

#include <adapters/clock.h>

#include <crosslink/base/error.h>
#include <crosslink/ports/stream_registry.h>

#include <algorithm>
#include <thread>

namespace crosslink
{

namespace
{

SoftwareCounts
software_of(const std::vector<StreamOrigin>& origins)
{
    SoftwareCounts served;
    for (const StreamOrigin& origin : origins)
        ++served[origin.service][origin.software];
    return served;
}

} // namespace

void
StreamRecords::read(StreamRegistry& registry, TimePoint asked, TimePoint latest,
                    Micros pause, const SoftwareSink& on_software)
{
    const std::unique_lock lock(m_mutex, latest - monotonic_now());
    if (!lock)
        throw Error(ErrorCode::PlatformUnavailable,
                    "the records of streams are not read in time");
    if (m_read_at > asked)
        return;
    // Those that waited meanwhile do not wait for another failure each.
    if (m_failed_at > asked)
        throw Error(ErrorCode::PlatformUnavailable,
                    "the records of streams were not read");
    const TimePoint next = std::max(m_read_at, m_failed_at) + pause;
    if (next > latest)
        throw Error(ErrorCode::PlatformUnavailable,
                    "the records of streams are not to be read in time");
    std::this_thread::sleep_for(std::max(next - monotonic_now(), Micros{0}));
    const TimePoint began = monotonic_now();
    try {
        const std::vector<StreamOrigin> origins = registry.read();
        on_software(software_of(origins));
        learn(origins);
        m_read_at = began;
    } catch (const Error&) {
        m_failed_at = monotonic_now();
        throw;
    }
}

void
StreamRecords::learn(const std::vector<StreamOrigin>& origins)
{
    m_origins.with([&](auto& recorded) {
        recorded.clear();
        for (const StreamOrigin& origin : origins)
            recorded.emplace(origin.stream, origin);
    });
}

std::optional<StreamOrigin>
StreamRecords::find(std::string_view stream) const
{
    return m_origins.with(
        [stream](const auto& recorded) -> std::optional<StreamOrigin> {
            const auto found = recorded.find(stream);
            if (found == recorded.end())
                return std::nullopt;
            return found->second;
        });
}

} // namespace crosslink
