// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/crash_history.h>
#include <crosslink/forward/crash_key.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Delay that a report from one instance to another may have. Answers count as
/// this much earlier: otherwise one that comes back to its sender would be a
/// later answer, and clear ends that came after it.
constexpr Micros max_report_delay = std::chrono::milliseconds(60);
/// Error of the time of an end that an instance reports. A report that comes
/// back again and again must not make the end earlier each time.
constexpr Micros max_time_error = std::chrono::milliseconds(150);
/// Maximum number of ends, and of answers, in one report, those of the most
/// suspect keys first.
/// At 30 bytes each they take 5 KB, or 4 ms on the slowest links.
constexpr std::size_t max_reported = 160;

} // namespace

const CrashHistory::Key*
CrashHistory::find(std::string_view name, TimePoint now) const
{
    const auto found = m_keys.find(name);
    if (found == m_keys.end() || found->second.last_at + remembered < now)
        return nullptr;
    return &found->second;
}

bool
CrashHistory::ended(const InterruptedCall& call, TimePoint now)
{
    const bool is_new = add_end(call, now);
    find_culprits_anew(now);
    return is_new;
}

void
CrashHistory::ended(std::span<const InterruptedCall> calls, TimePoint now)
{
    for (const InterruptedCall& call : calls)
        add_end(call, now);
    find_culprits_anew(now);
}

bool
CrashHistory::add_end(const InterruptedCall& call, TimePoint now)
{
    if (call.ended_at + remembered < now)
        return false;
    Key& key = find_or_add(call.key, now);
    const ProcessEnd end{call.runner, call.start_ms, call.ended_at};
    for (End& known : key.ends) {
        if (!is_same_end(known.process_end(), end))
            continue;
        // Most paths add their delay, so that an earlier time is more accurate.
        known.ended_at = std::max(std::min(known.ended_at, call.ended_at),
                                  known.earliest_at);
        known.again = known.again || call.again;
        return false;
    }
    if (!key.make_room(call.ended_at))
        return false;
    key.ends.push_back({call.runner, call.start_ms, call.again, call.ended_at,
                        call.ended_at - max_time_error, now});
    key.last_at = std::max(key.last_at, call.ended_at);
    // The instance that reported the end may not know of the answer.
    if (key.answered_at && (key.is_part || !key.counts(key.ends.back())))
        key.answer_learned_at = now;
    mark_changed(key, now);
    return true;
}

void
CrashHistory::answered(std::string_view key, TimePoint at, TimePoint now)
{
    if (add_answer(key, at, now))
        find_culprits_anew(now);
}

/// Returns whether the answer clears ends or a record of the key.
bool
CrashHistory::add_answer(std::string_view name, TimePoint at, TimePoint now)
{
    const auto found = m_keys.find(name);
    if (found == m_keys.end()) {
        m_answers.answered(name, at);
        return false;
    }
    Key& known = found->second;
    if (known.answered_at && *known.answered_at >= at)
        return false;
    // For a key that many calls have, an occasional report is enough.
    const bool is_relevant = known.end_count() > 0 || known.has_valid_record();
    known.answered_at = at;
    if (!is_relevant)
        return false;
    known.answer_learned_at = now;
    mark_changed(known, now);
    return true;
}

/// Decides anew which of the suspect keys are at fault.
void
CrashHistory::find_culprits_anew(TimePoint now)
{
    std::vector<CrashSuspect> suspects;
    for (auto& [name, key] : m_keys) {
        key.is_culprit = false;
        key.is_tied = false;
        if (!key.is_suspect()) {
            key.suspect_since.reset();
            continue;
        }
        if (!key.suspect_since)
            key.suspect_since = now;
        suspects.push_back({name, {}, key.answered_at});
        for (const End& end : key.ends)
            if (key.counts(end))
                suspects.back().ends.push_back(end.process_end());
    }
    for (const Culprit& culprit : find_culprits(suspects, most_ends)) {
        Key& key = m_keys.find(culprit.key)->second;
        key.is_culprit = true;
        key.is_tied = culprit.is_tied;
    }
}

std::vector<std::string>
CrashHistory::take_newly_blocked(TimePoint now)
{
    std::vector<std::string> names;
    for (auto& [name, key] : m_keys) {
        const bool is_blocked = find(name, now) && key.is_blocked(now);
        if (is_blocked && !key.reported_blocked)
            names.push_back(name);
        key.reported_blocked = is_blocked;
    }
    return names;
}

/// Returns the blocked one of `keys` that a call with them may try; null if
/// there is none.
const std::string*
CrashHistory::tried_key(std::span<const std::string> keys, TimePoint now) const
{
    const std::string* tried = nullptr;
    std::size_t suspects = 0;
    bool all_answered = true;
    for (const std::string& name : keys) {
        const auto found = m_keys.find(name);
        if (found == m_keys.end())
            continue;
        const Key& key = found->second;
        const bool is_blocked = key.is_blocked(now);
        if (!is_blocked && !key.is_suspect())
            continue;
        ++suspects;
        all_answered = all_answered && key.answered_at;
        if (!is_blocked)
            continue;
        if (tried || !key.may_be_tried(now))
            return nullptr;
        tried = &name;
    }
    return suspects > 1 && !all_answered ? nullptr : tried;
}

bool
CrashHistory::may_try(std::span<const std::string> keys, TimePoint now) const
{
    return tried_key(keys, now) != nullptr;
}

bool
CrashHistory::take_trial(std::span<const std::string> keys, TimePoint now)
{
    const std::string* tried = tried_key(keys, now);
    if (!tried)
        return false;
    ++m_keys.find(*tried)->second.trials;
    return true;
}

void
CrashHistory::return_trial(std::string_view key)
{
    const auto found = m_keys.find(key);
    if (found != m_keys.end() && found->second.trials > 0)
        --found->second.trials;
}

bool
CrashHistory::blocked(std::string_view key, TimePoint now) const
{
    const Key* known = find(key, now);
    return known && (known->is_blocked(now) || known->is_held(now));
}

void
CrashHistory::hold(std::string_view key, TimePoint at, TimePoint now)
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end() || found->second.end_count() < most_ends)
        return;
    Key& known = found->second;
    if (known.held_at && *known.held_at >= at)
        return;
    known.held_at = at;
    mark_changed(known, now);
}

std::size_t
CrashHistory::ends(std::string_view key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? 0 : found->second.end_count();
}

/// Adds what was recently learned of `key` to `update`.
void
CrashHistory::add_to_update(const std::string& name, const Key& key,
                            TimePoint now, CrashUpdate& update)
{
    const Micros span = key.report_span();
    const auto is_new = [now, span](TimePoint learned_at) {
        return learned_at + span > now;
    };
    for (const End& end : key.ends)
        if (is_new(end.learned_at) && update.broken.size() < max_reported)
            update.broken.push_back({name, end.runner, end.start_ms, end.again,
                                     now - end.ended_at});
    if (key.answered_at && is_new(key.answer_learned_at) &&
        update.answered.size() < max_reported)
        update.answered.push_back({name, now - *key.answered_at});
    if (key.is_held(now))
        update.held.push_back({name, now - *key.held_at});
}

CrashUpdate
CrashHistory::update(TimePoint now) const
{
    CrashUpdate update;
    if (now >= m_report_until)
        return update;
    std::vector<const Keys::value_type*> suspects;
    for (const auto& item : m_keys)
        if (item.second.report_until > now)
            suspects.push_back(&item);
    std::stable_sort(suspects.begin(), suspects.end(),
                     [](const auto* a, const auto* b) {
                         return a->second.ends.size() > b->second.ends.size();
                     });
    for (const auto* item : suspects)
        add_to_update(item->first, item->second, now, update);
    return update;
}

/// Marks what was learned of `key` as to be reported to other instances.
void
CrashHistory::mark_changed(Key& key, TimePoint now)
{
    key.report_until = now + key.report_span();
    m_report_until = std::max(m_report_until, key.report_until);
}

void
CrashHistory::merge(const CrashUpdate& update, TimePoint as_of, TimePoint now)
{
    for (const CrashUpdate::Broken& call : update.broken)
        add_end({call.key, call.runner, call.start_ms, call.again,
                 as_of - call.since_end},
                now);
    for (const CrashUpdate::Answered& answer : update.answered)
        add_answer(answer.key,
                   as_of - answer.since -
                       (is_part_key(answer.key) ? max_report_delay : Micros(0)),
                   now);
    if (!update.broken.empty() || !update.answered.empty())
        find_culprits_anew(now);
    for (const CrashUpdate::Held& item : update.held)
        hold(item.key, as_of - item.since, now);
}

/// Returns what is known of a key. A new one is added, in place of another one
/// if necessary.
CrashHistory::Key&
CrashHistory::find_or_add(std::string_view name, TimePoint now)
{
    const auto found = m_keys.find(name);
    if (found != m_keys.end() && found->second.last_at + remembered >= now)
        return found->second;
    expire(now);
    if (m_keys.size() >= most_keys)
        evict_least_suspect();
    Key& added = m_keys[std::string(name)];
    added.is_part = is_part_key(name);
    added.answered_at = m_answers.last(name);
    return added;
}

void
CrashHistory::expire(TimePoint now)
{
    std::erase_if(m_keys, [now](const auto& item) {
        return item.second.last_at + remembered < now;
    });
}

/// Drops the least suspect key: one that is not blocked if possible, with the
/// fewest ends, and of those the one that was updated least recently.
void
CrashHistory::evict_least_suspect()
{
    const auto least_suspect = std::min_element(
        m_keys.begin(), m_keys.end(), [](const auto& a, const auto& b) {
            const bool blocked_a =
                a.second.is_culprit || a.second.has_valid_record();
            const bool blocked_b =
                b.second.is_culprit || b.second.has_valid_record();
            if (blocked_a != blocked_b)
                return blocked_b;
            if (a.second.ends.size() != b.second.ends.size())
                return a.second.ends.size() < b.second.ends.size();
            return a.second.last_at < b.second.last_at;
        });
    m_keys.erase(least_suspect);
}

} // namespace crosslink
