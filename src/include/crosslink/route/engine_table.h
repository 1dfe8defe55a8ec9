// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/ports/engine.h>
#include <crosslink/route/cache_index.h>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crosslink
{

/// One model engine as this instance knows it.
struct EngineEntry {
    std::string address;
    std::string zone;
    EngineLoad load;            ///< The latest report; it lags.
    bool reported = false;      ///< False before the first report.
    TimePoint reported_at{};    ///< When that report came.
    TimePoint leaving_until{};  ///< No new work before this time.
    TimePoint ejected_until{};  ///< Kept out after failures.
    std::uint32_t failures = 0; ///< In a row.
    CacheIndex cache;
    /// Prompt tokens that this instance has sent and that are not computed
    /// yet as far as it knows, by run.
    std::map<std::string, std::uint64_t, std::less<>> own_tokens;
    std::uint32_t own_running = 0; ///< Own runs that are not over.

    /// True where new work may go to it at `now`.
    bool takes_work(TimePoint now) const;
    /// Returns the sum of own_tokens.
    std::uint64_t own_waiting_tokens() const;
    /// True where it has the model, version and adapter in memory.
    bool has(std::string_view model, std::string_view version,
             std::string_view adapter) const;
};

/// An upstream of the platform's list that is an engine.
struct ListedEngine {
    std::string address;
    std::string zone;
    bool leaving = false;
};

/// All model engines that this instance knows.
class EngineTable
{
public:
    using Entries = std::map<std::string, EngineEntry, std::less<>>;

    /// Takes over the platform's list: new engines join, absent ones go,
    /// leaving ones are marked.
    void sync(std::span<const ListedEngine> listed, TimePoint now);
    /// Takes in a load report.
    void update_load(std::string_view address, const EngineLoad& load,
                     TimePoint now);
    /// Takes note that an engine does not report: it gets no work until it
    /// does again.
    void lost(std::string_view address);
    /// Marks an engine as leaving until `until`; a mark expires, so that a
    /// wrong one does no lasting harm.
    void mark_leaving(std::string_view address, TimePoint until);
    /// Returns the engines that are marked as leaving at `now`, with the time
    /// that the marks last.
    std::vector<std::pair<std::string, Micros>> marks(TimePoint now) const;
    /// Takes note of a run that is sent with so many tokens to compute.
    void sent(std::string_view address, std::string_view run_id,
              std::uint64_t tokens, TimePoint now);
    /// Takes note of a run's first token: its prompt is computed.
    void computed(std::string_view address, std::string_view run_id,
                  std::span<const Digest> keys);
    /// Takes note of a run's end, whole or not.
    void ended(std::string_view address, std::string_view run_id);
    /// Takes note of a failure: repeated ones keep the engine out for a time
    /// that doubles, up to a bound, and ends with one trial.
    void failed(std::string_view address, TimePoint now);
    void succeeded(std::string_view address);

    const Entries& entries() const { return m_entries; }
    EngineEntry* find(std::string_view address);

private:
    Entries m_entries;
};

} // namespace crosslink
