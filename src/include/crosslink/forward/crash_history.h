// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/crash_suspects.h>
#include <crosslink/forward/crash_update.h>
#include <crosslink/forward/last_answers.h>

#include <array>
#include <cstddef>
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

/// The keys under which runners ended, as far as this instance knows: whole
/// requests, and parts of prompts (see crash_key.h). A key is blocked, that is,
/// calls with it are sent to no runner any more, once `most_ends` runners ended
/// under it since its last answer, unless other blocked keys explain these ends
/// (see find_culprits()).
///
/// A process that ends takes all its calls with it. A harmless key that many
/// calls have may therefore be in flight at several runners that are lost at
/// the same moment. This counts as a single loss: to block a key, at least one
/// of the calls must have been sent when the end of another runner was already
/// known. Timestamps can't decide this, since those reported by other instances
/// are off by up to 0.15 s. An answer from any runner proves that the key is
/// harmless.
///
/// Instances report what they see to each other only for a short time. A
/// blocked key is also recorded at the platform, where instances that start
/// read it. All of this expires: ten minutes after the last runner ended, or
/// when the record is removed.
class CrashHistory
{
public:
    /// Number of runners that end under a key before it is blocked. Two would
    /// block a harmless request that lost one runner by chance and was then
    /// repeated on a runner that another request ended.
    static constexpr std::size_t most_ends = 3;
    /// Time after which a key is forgotten. The cause may have been fixed by
    /// then, and losing another three runners in ten minutes is acceptable.
    static constexpr Micros remembered = std::chrono::minutes(10);
    /// Maximum number of keys that are remembered. Each end of a runner adds
    /// those of the calls that this instance had there, some tens at most.
    static constexpr std::size_t most_keys = 1024;
    /// Maximum number of answered keys without a known end that are remembered,
    /// in case another instance later reports an earlier end. This covers one
    /// second of an instance that has 200 calls a second.
    static constexpr std::size_t most_answers = 1024;
    /// Time for which a part that was answered before is not blocked yet: an
    /// answer at another instance takes as long to be reported as an end.
    static constexpr Micros settle_time = std::chrono::milliseconds(1500);
    /// Times after the last end of a part at which one call may try whether the
    /// part ends runners; see take_trial().
    static constexpr std::array trial_pauses{
        Micros(std::chrono::milliseconds(2500)),
        Micros(std::chrono::seconds(30))};

    /// Records that a runner ended under a key. Returns whether this is new:
    /// several instances may report the same end.
    bool ended(const InterruptedCall& call, TimePoint now);
    /// The same for the keys of all calls that a process took with it. Which
    /// keys are at fault is decided once for all of them.
    void ended(std::span<const InterruptedCall> calls, TimePoint now);
    /// Records that a runner answered a call with a key at `at`: completely,
    /// or, for a part, at least past the begin of the answer.
    void answered(std::string_view key, TimePoint at, TimePoint now);
    /// Records that a call failed at one more runner at `at`, for which it is
    /// not yet known whether it ended. If as many ends are known as block a
    /// key, the key is held back until this is decided; otherwise each instance
    /// would keep sending it for that long. To be called for whole requests
    /// only: many others have a part.
    void hold(std::string_view key, TimePoint at, TimePoint now);
    /// Returns whether calls with a key must not be sent to any runner.
    bool blocked(std::string_view key, TimePoint now) const;
    /// Returns how many runners ended under a key since its last answer.
    std::size_t ends(std::string_view key) const;
    /// Returns whether one call with `keys` may be sent to a runner although it
    /// is blocked, and counts it as sent. At most one instance may ask. A part
    /// is tried only if it may well be harmless: it was answered before these
    /// ends, or another key, which the call does not have, explains them as
    /// well.
    bool take_trial(std::span<const std::string> keys, TimePoint now);
    /// Returns whether take_trial() would return true.
    bool may_try(std::span<const std::string> keys, TimePoint now) const;
    /// Records that the call that tries the blocked part `key` was not sent.
    void return_trial(std::string_view key);
    /// Returns the keys that became blocked since the previous call.
    std::vector<std::string> take_newly_blocked(TimePoint now);
    /// Returns whether nothing is known of any key.
    bool empty() const { return m_keys.empty(); }

    /// Returns what was learned recently, to be reported to other instances.
    CrashUpdate update(TimePoint now) const;
    /// Merges what another instance reported as of `as_of`.
    void merge(const CrashUpdate& update, TimePoint as_of, TimePoint now);

    /// Records that the platform has a record of a key as blocked.
    void recorded(std::string_view key, TimePoint now);
    /// Records that the platform's record is gone: its lease expired, or an
    /// operator removed it. Everything known of the key is dropped.
    void unrecorded(std::string_view key);
    /// Records that a copy, from which the platform's store was restored, has a
    /// record of a key. An answer that is known came after it.
    void record_restored(std::string_view key, TimePoint now);
    /// Records that such a copy lacks a record: it holds, and is to be made
    /// again.
    void record_lost(std::string_view key);
    /// Drops the recorded keys that are not in `keys`, the complete set of the
    /// platform's records.
    void recorded_only(const std::set<std::string>& keys);
    /// Returns the blocked keys that the platform has no record of yet.
    std::vector<std::string> to_record(TimePoint now) const;
    /// Returns the recorded keys that were answered since, or whose ends other
    /// keys explain. Their records are to be removed.
    std::vector<std::string> to_unrecord() const;

private:
    struct End {
        std::string runner;
        std::uint64_t start_ms = 0;
        bool again = false;
        TimePoint ended_at{};
        TimePoint earliest_at{}; ///< Bound of ended_at.
        TimePoint learned_at{};

        ProcessEnd process_end() const { return {runner, start_ms, ended_at}; }
    };
    struct Key {
        /// In the order in which they were learned: of a part the latest ones,
        /// of a request those that were learned last.
        std::vector<End> ends;
        std::optional<TimePoint> answered_at;
        TimePoint answer_learned_at{};
        std::optional<TimePoint> recorded_at;
        bool is_record_lost = false;      ///< See record_lost().
        std::optional<TimePoint> held_at; ///< See hold().
        TimePoint report_until{};         ///< It is reported to others before.
        TimePoint last_at{}; ///< Time of the last end, or of its record.
        bool reported_blocked = false; ///< See take_newly_blocked().
        bool is_part = false;
        std::optional<TimePoint> suspect_since; ///< See is_suspect().
        bool is_culprit = false;                ///< See find_culprits().
        bool is_tied = false;                   ///< See Culprit.
        std::size_t trials = 0;                 ///< See take_trial().

        bool counts(const End& end) const;
        std::size_t end_count() const;
        bool has_repeated_end() const;
        bool is_suspect() const;
        Micros report_span() const;
        bool has_valid_record() const;
        bool is_settled(TimePoint now) const;
        bool make_room(TimePoint ended_at);
        bool is_explained() const;
        bool is_blocked(TimePoint now) const;
        bool is_held(TimePoint now) const;
        bool may_be_tried(TimePoint now) const;
    };

    using Keys = std::map<std::string, Key, std::less<>>;

    static void add_to_update(const std::string& name, const Key& key,
                              TimePoint now, CrashUpdate& update);
    bool add_end(const InterruptedCall& call, TimePoint now);
    bool add_answer(std::string_view name, TimePoint at, TimePoint now);
    void find_culprits_anew(TimePoint now);
    const std::string* tried_key(std::span<const std::string> keys,
                                 TimePoint now) const;
    Key& find_or_add(std::string_view name, TimePoint now);
    void mark_changed(Key& key, TimePoint now);
    void expire(TimePoint now);
    void evict_least_suspect();
    const Key* find(std::string_view name, TimePoint now) const;

    Keys m_keys;
    LastAnswers m_answers{most_answers}; ///< Of the keys not in m_keys.
    /// Time until which there may be something to report. Usually there is
    /// nothing, and update() is called up to 200 times a second.
    TimePoint m_report_until{};
};

} // namespace crosslink
