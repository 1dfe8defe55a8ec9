// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "kept_duties.h"

#include <adapters/clock.h>
#include <serve/fleet/fleet_rpc.h>
#include <serve/log_line.h>

#include <crosslink/base/error.h>
#include <crosslink/ports/kept_stores.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Pause between rounds while another instance holds the duty.
constexpr Micros idle_pause = std::chrono::milliseconds(700);
constexpr Micros free_pause = std::chrono::milliseconds(500);
/// Pause between two requests for a store's changes, so that one answer brings
/// several. It delays the first fetch of a saved part by as much at most.
constexpr Micros changes_pause = std::chrono::milliseconds(40);
/// Longest wait of one such request.
constexpr Micros changes_wait = std::chrono::milliseconds(900);
constexpr Micros store_failed_pause = std::chrono::milliseconds(300);
/// Time that a save may take beyond the end of its call, for the last bytes.
constexpr Micros save_slack = std::chrono::seconds(1);

} // namespace

KeptDuties::KeptDuties(ForwardState& state, WeightsDuty& weights)
    : m_state(state), m_weights(weights),
      m_free_duty(
          "kept_free", [this] { return free_round(); }, Duty::Begin::OnStart)
{
}

void
KeptDuties::stop()
{
    // A round may wait for a store: all of them end at the same time.
    for (const auto& [address, duty] : m_store_duties)
        duty->request_stop();
    m_store_duties.clear();
    m_free_duty.stop();
    m_kept.with([](DirectoryState& kept) { kept.map_version = 0; });
}

void
KeptDuties::begin(std::uint64_t token)
{
    m_kept.with([token](DirectoryState& kept) {
        kept.directory.begin(token, monotonic_now());
        kept.token = token;
        kept.stopped = false;
        kept.earlier_stopped = false;
        kept.next.clear();
    });
}

void
KeptDuties::wake()
{
    for (const auto& [address, duty] : m_store_duties)
        duty->wake();
}

KeptAnswer
KeptDuties::locate(const KeptSpace& space, std::span<const PromptPart> parts,
                   Micros longest, TimePoint now)
{
    return m_kept.with([&](DirectoryState& kept) {
        require_answering(kept);
        return kept.directory.ask(space, parts, longest + save_slack, now);
    });
}

KeptUpdate
KeptDuties::update_since(std::uint64_t term, std::uint64_t place, TimePoint now)
{
    return m_kept.with([&](DirectoryState& kept) {
        require_answering(kept);
        return kept.directory.update_since(term, place, now);
    });
}

void
KeptDuties::require_answering(const DirectoryState& kept)
{
    if (kept.stopped)
        throw Error(ErrorCode::LeaseLost, "a later holder tells");
}

bool
KeptDuties::stop_answering(std::uint64_t token)
{
    return m_kept.with([token](DirectoryState& kept) {
        if (token <= kept.token)
            return false;
        kept.stopped = true;
        return true;
    });
}

/// Asks the earlier holders of the duty that may still answer to stop, and
/// informs the directory when none is left.
void
KeptDuties::stop_earlier_holders()
{
    const auto [stopped, token] = m_kept.with([](DirectoryState& kept) {
        return std::pair(kept.earlier_stopped, kept.token);
    });
    if (stopped)
        return;
    const TimePoint now = monotonic_now();
    const HolderHistory holders =
        m_state.fleet.with([](FleetView& view) { return view.holders; });
    // This instance is the last holder in the history only once the platform
    // has reported all changes up to its own lease.
    if (holders.holder() != m_state.settings.peer_address() ||
        !holders.is_complete(kept_grace_time, now))
        return;
    for (const std::string& address : holders.recent(kept_grace_time, now))
        if (!FleetClient(address).stop_answering(
                token, m_state.settings.peer_address()))
            return;
    LogLine("earlier_holders_silent").field("token", token);
    m_kept.with([token = token](DirectoryState& kept) {
        if (kept.token != token)
            return;
        kept.earlier_stopped = true;
        kept.directory.earlier_holders_stopped(monotonic_now());
    });
}

void
KeptDuties::cancel_saves(const std::string& space,
                         std::span<const PromptPart> parts)
{
    m_kept.with([&](DirectoryState& kept) {
        for (const PromptPart& part : parts)
            kept.directory.not_saved({space, part.id, part.tokens});
    });
}

void
KeptDuties::adopt_stores()
{
    const auto map = m_state.map();
    if (!map)
        return;
    const bool changed = m_kept.with([&](DirectoryState& kept) {
        if (kept.map_version == map->version)
            return false;
        kept.map_version = map->version;
        kept.directory.set_stores(map->stores);
        return true;
    });
    if (!changed)
        return;
    std::map<std::string, std::unique_ptr<Duty>> duties;
    for (const KeptStoreInfo& store : map->stores) {
        if (!store.managed)
            continue;
        auto& duty = duties[store.address];
        const auto known = m_store_duties.find(store.address);
        if (known != m_store_duties.end())
            duty = std::move(known->second);
        else
            duty = std::make_unique<Duty>("kept_store",
                                          [this, address = store.address] {
                                              return store_round(address);
                                          });
    }
    m_store_duties = std::move(duties);
}

/// Returns the oldest version of each model that a runner still has.
KeptDuties::OldestVersions
KeptDuties::oldest_versions()
{
    return m_state.runners.with([](RunnerTable& table) {
        OldestVersions versions;
        for (const auto& [id, entry] : table.entries())
            for (const LoadedModel& loaded : entry.listed.models) {
                const auto place =
                    versions.try_emplace(loaded.model, loaded.version).first;
                place->second = std::min(place->second, loaded.version);
            }
        return versions;
    });
}

Micros
KeptDuties::free_round()
{
    if (!m_state.may_act())
        return idle_pause;
    try {
        stop_earlier_holders();
    } catch (const Error& failure) {
        LogLine("earlier_holder_unreachable").field("error", failure.what());
    }
    free_due();
    return free_pause;
}

/// Lets the directory evict parts, and tells the stores to free those that are
/// due.
void
KeptDuties::free_due()
{
    const OldestVersions oldest = oldest_versions();
    const auto obsolete = [&oldest](const KeptSpace& space) {
        const auto found = oldest.find(space.model);
        return found != oldest.end() && space.version < found->second;
    };
    const double changed = m_weights.updated_fraction();
    auto slow = m_state.fetches.with([](FetchDelayTracker& tracker) {
        return tracker.slow_stores(monotonic_now());
    });
    RunnerMillis clock = 0;
    const auto frees = m_kept.with([&](DirectoryState& kept) {
        const TimePoint now = monotonic_now();
        clock = kept.directory.runner_clock(now);
        kept.directory.set_slow(std::move(slow));
        return kept.directory.take_due_frees(obsolete, changed, now);
    });
    const Micros left = m_state.duty_time_left();
    const RunnerMillis until =
        clock + static_cast<RunnerMillis>(left / std::chrono::milliseconds(1));
    for (const KeptFree& free : frees) {
        LogLine("kept_free")
            .field("store", free.store)
            .field("parts", static_cast<std::uint64_t>(free.parts.size()));
        m_state.ports.stores.free(free, until);
    }
}

Micros
KeptDuties::store_round(const std::string& address)
{
    if (!m_state.may_answer_kept(monotonic_now()))
        return idle_pause;
    std::uint64_t after = 0;
    const bool list = m_kept.with([&](DirectoryState& kept) {
        const auto next = kept.next.find(address);
        if (next == kept.next.end())
            return true;
        after = next->second;
        return kept.directory.wants_listing(address, monotonic_now());
    });
    try {
        if (list)
            list_store(address);
        else
            follow_store(address, after);
        return changes_pause;
    } catch (const Error& failure) {
        LogLine("kept_store_unreachable")
            .field("store", address)
            .field("error", failure.what());
        m_kept.with([&](DirectoryState& kept) {
            kept.directory.unreachable(address);
            kept.next.erase(address);
        });
        return store_failed_pause;
    }
}

void
KeptDuties::list_store(const std::string& address)
{
    const KeptListing listing = m_state.ports.stores.list(address);
    m_kept.with([&](DirectoryState& kept) {
        kept.directory.apply_listing(address, listing, monotonic_now());
        kept.next[address] = listing.next;
    });
    LogLine("kept_listed")
        .field("store", address)
        .field("whole", static_cast<std::uint64_t>(listing.whole.size()))
        .field("broken", static_cast<std::uint64_t>(listing.broken.size()));
}

void
KeptDuties::follow_store(const std::string& address, std::uint64_t after)
{
    const KeptChanges changes =
        m_state.ports.stores.changes(address, after, changes_wait);
    m_kept.with([&](DirectoryState& kept) {
        if (kept.directory.apply_changes(address, changes, monotonic_now()))
            kept.next[address] = changes.next;
        else
            kept.next.erase(address);
    });
}

} // namespace crosslink
