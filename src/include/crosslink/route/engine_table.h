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

/// A model engine as this instance knows it.
struct EngineEntry {
    std::string address;
    std::string zone;
    EngineLoad load;            ///< The latest report, which lags.
    bool reported = false;      ///< False before the first report.
    TimePoint reported_at{};    ///< When the latest report arrived.
    TimePoint leaving_until{};  ///< No new work before this time.
    TimePoint ejected_until{};  ///< No new work after failures.
    std::uint32_t failures = 0; ///< Consecutive failures.
    CacheIndex cache;
    /// Prompt tokens, by run, that this instance has sent and that, as far as
    /// it knows, are not computed yet.
    std::map<std::string, std::uint64_t, std::less<>> own_tokens_by_run;
    std::uint32_t own_running = 0; ///< Own runs that have not ended.

    /// Returns whether it may be given new work at `now`.
    bool takes_work(TimePoint now) const;
    /// Returns the sum of own_tokens_by_run.
    std::uint64_t own_waiting_tokens() const;
    /// Returns whether it has the model, version and adapter in memory.
    bool has(std::string_view model, std::string_view version,
             std::string_view adapter) const;
};

/// An engine in the platform's list of upstreams.
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

    /// Applies the platform's list: adds new engines, removes absent ones and
    /// marks leaving ones.
    void sync(std::span<const ListedEngine> listed, TimePoint now);
    /// Stores a load report.
    void update_load(std::string_view address, const EngineLoad& load,
                     TimePoint now);
    /// Records that an engine does not report: it gets no work until it reports
    /// again.
    void lost(std::string_view address);
    /// Marks an engine as leaving until `until`. The mark expires, so a wrong
    /// one does no lasting harm.
    void mark_leaving(std::string_view address, TimePoint until);
    /// Returns the engines that are marked as leaving at `now`, with the
    /// remaining time of each mark.
    std::vector<std::pair<std::string, Micros>> marks(TimePoint now) const;
    /// Records a run that is sent, with `tokens` prompt tokens to compute.
    /// Throws Error where the engine is marked as leaving.
    void sent(std::string_view address, std::string_view run_id,
              std::uint64_t tokens, TimePoint now);
    /// Records the first token of a run: its prompt has been computed, and the
    /// blocks of `keys` are expected in the engine's cache.
    void computed(std::string_view address, std::string_view run_id,
                  std::span<const Digest> keys);
    /// Records the end of a run, complete or not.
    void ended(std::string_view address, std::string_view run_id);
    /// Records a failure. The engine gets no work for a time that doubles with
    /// each consecutive failure, up to a limit; then it is tried again.
    void failed(std::string_view address, TimePoint now);
    void succeeded(std::string_view address);

    const Entries& entries() const { return m_entries; }
    EngineEntry* find(std::string_view address);

private:
    Entries m_entries;
};

} // namespace crosslink
