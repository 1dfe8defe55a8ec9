// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// A model with the version of its weights that a runner has in memory.
struct LoadedModel {
    std::string model;
    std::uint64_t version = 0;
};

/// One process that runs calls of a service, as the platform lists it.
struct ListedRunner {
    std::string id; ///< New with each start.
    std::string service;
    std::string address; ///< "ip:port"; may be used again by another one.
    std::string zone;
    std::uint32_t slots = 1; ///< Calls that it works on at once.
    bool leaving = false;    ///< It said that it will end.
    std::vector<LoadedModel> models;
};

/// Calls under way at a runner.
struct RunnerLoad {
    std::uint32_t calls = 0;
    std::uint64_t tokens = 0; ///< Of their prompts, not read yet.

    /// Adds one call that has `tokens_in` to be read.
    void add(std::uint64_t tokens_in)
    {
        ++calls;
        tokens += tokens_in;
    }
};

/// A runner with what this instance knows from its own calls.
struct RunnerEntry {
    ListedRunner listed;
    RunnerLoad own;             ///< Calls of this instance.
    RunnerLoad others;          ///< Of all other instances, as they told it.
    RunnerLoad untold;          ///< Of this instance, sent since then.
    std::uint32_t failures = 0; ///< In a row.
    TimePoint held_until{};     ///< It gets nothing before.
    /// It is no longer listed, and taken as gone from then on, unless it is
    /// listed again.
    std::optional<TimePoint> gone_at;

    /// Returns the version of `model` that it is believed to have; 0 where
    /// it has it not.
    std::uint64_t version_of(std::string_view model) const;
};

/// The zone from which most of a prompt's kept parts are fetched.
struct KeptNear {
    std::string zone;
    Micros fetch_time{0};
    std::uint64_t fetched_tokens = 0; ///< Of all its parts.
};

/// What the choice of a runner depends on.
struct RunnerQuery {
    std::string_view service;
    std::string_view zone; ///< Of this instance.
    /// Calls with the same text share KV and go to the same runner where it
    /// is not dearer than others; empty for none.
    std::string_view affinity;
    /// Where the kept parts of the prompt lie, and the time that fetching
    /// them takes within that zone; empty and 0 where none are.
    KeptNear kept;
    std::uint64_t tokens = 0; ///< Of the prompt, as many as will be read.
    std::string_view model;   ///< Empty for plain services.
    std::uint64_t newest_version = 0; ///< Named weights; 0 where none are.
    /// Older weights are taken only while most runners have them.
    std::uint64_t least_version = 0;
    const std::set<std::string>* avoid = nullptr; ///< Runners tried already.
    std::size_t instances = 1;                    ///< Of the fleet.
    std::uint64_t random = 0;                     ///< Random bits.
    TimePoint now{};
};

/// The runner that was chosen.
struct RunnerPick {
    std::string id;
    std::string address;
    std::uint64_t version = 0; ///< Of the model, as believed.
    Micros wait{0};            ///< Until it takes up the call, as expected.
};

/// Returns the time in which a runner reads a prompt of `tokens`.
Micros reading_time(std::uint64_t tokens);

/// The runners of all services, and the choice among them.
class RunnerTable
{
public:
    using Entries = std::map<std::string, RunnerEntry, std::less<>>;

    /// Replaces the whole list; what is known of those that stay is kept.
    void sync(std::span<const ListedRunner> listed);
    /// Takes over one entry of the list.
    void put(const ListedRunner& listed);
    /// Takes note that a runner is no longer listed, and that it is gone.
    void remove(std::string_view id);
    /// Takes note that a runner is no longer listed. Its entry may have lapsed
    /// by itself, so that it counts as gone only from `gone_at` on.
    void lapsed(std::string_view id, TimePoint gone_at);
    /// As sync(); those that are not listed count as gone from `gone_at` on.
    void sync_lapsed(std::span<const ListedRunner> listed, TimePoint gone_at);
    /// Drops the runners that count as gone at `now`.
    void expire(TimePoint now);

    /// Returns the runner for a call, or nothing where none takes work.
    std::optional<RunnerPick> choose(const RunnerQuery& query) const;
    /// Takes note of a call that is sent, with its prompt tokens.
    void sent(std::string_view id, std::uint64_t tokens);
    /// Takes note that a call's prompt was read.
    void prompt_read(std::string_view id, std::uint64_t tokens);
    /// Takes note of a call's end.
    void ended(std::string_view id);
    /// Takes note of a refusal: nothing goes there for `hold`.
    void refused(std::string_view id, TimePoint now, Micros hold);
    /// Takes note of a failure: it gets nothing for a time that doubles.
    void failed(std::string_view id, TimePoint now);
    void succeeded(std::string_view id);
    /// Takes note that a runner says nothing at all: its zone may be cut off,
    /// and is passed over for a while, or until one of its runners answers.
    void silent(std::string_view id, TimePoint now);
    /// Takes note of the weights that a runner's own answer named, or that
    /// it is expected to have next.
    void has_version(std::string_view id, std::string_view model,
                     std::uint64_t version);

    /// Returns whether at least half of the runners of `service` have `version`
    /// of `model` or a newer one.
    bool most_have(std::string_view service, std::string_view model,
                   std::uint64_t version) const;
    /// Returns the load that this instance gives to each runner.
    std::map<std::string, RunnerLoad> own_load() const;
    /// Takes in the load that all other instances give, as of `now`.
    void others_told(const std::map<std::string, RunnerLoad>& load,
                     TimePoint now);

    const Entries& entries() const { return m_entries; }

private:
    RunnerEntry* find(std::string_view id);
    bool is_silent(std::string_view zone, TimePoint now) const;
    const RunnerEntry* cheapest(const std::vector<const RunnerEntry*>& entries,
                                const RunnerQuery& query,
                                bool others_known) const;

    Entries m_entries;
    /// Zones that may be cut off, and until when they are passed over.
    std::map<std::string, TimePoint, std::less<>> m_silent_zones;
    TimePoint m_others_at{}; ///< When the others' load was told last.
    bool m_others_known = false;
};

} // namespace crosslink
