// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <serve/guarded.h>

#include <crosslink/base/time.h>
#include <crosslink/forward/software_history.h>
#include <crosslink/forward/stream_origins.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

class StreamRegistry;

/// The streams under way that all instances have recorded at the platform, as
/// the last reading brought them. Thread-safe: calls that wait for a reading
/// share it.
class StreamRecords
{
public:
    using SoftwareSink = std::function<void(const SoftwareCounts& served)>;

    /// Reads the records, unless a reading began after `asked`. Two readings
    /// are `pause` apart. `on_software` gets the software versions of the
    /// streams before anyone who waits for the reading goes on. Throws
    /// Error(PlatformUnavailable) where they are not read by `latest`.
    void read(StreamRegistry& registry, TimePoint asked, TimePoint latest,
              Micros pause, const SoftwareSink& on_software);
    /// Returns the origin of `stream` as it was recorded; nothing if none was.
    std::optional<StreamOrigin> find(std::string_view stream) const;

private:
    void learn(const std::vector<StreamOrigin>& origins);

    std::timed_mutex m_mutex; ///< One reads at a time.
    TimePoint m_read_at{};    ///< When the last reading began.
    TimePoint m_failed_at{};
    /// By stream. Apart from those of this instance, which they would crowd
    /// out.
    mutable Guarded<std::map<std::string, StreamOrigin, std::less<>>> m_origins;
};

} // namespace crosslink
