// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of CrashHistory that says what the ends and answers of one key mean.

#include <crosslink/forward/crash_history.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Time within which it is decided whether a runner ended, if at all.
constexpr Micros decision_time = std::chrono::seconds(6);
/// Time for which new information is reported to other instances. Three
/// exchanges up the tree and three down take 0.8 s, and one that fails adds 0.4
/// s.
constexpr Micros report_time = std::chrono::milliseconds(1500);
/// The same if more than one runner ended. This concerns few keys, and
/// zones that were cut off from each other must learn of them after the
/// partition.
constexpr Micros suspect_report_time = std::chrono::seconds(15);
/// Maximum number of ends kept for a request. It is more than the number that
/// blocks one, so that enough of them remain if an answer came in between.
constexpr std::size_t max_ends_of_request = 2 * CrashHistory::most_ends;
/// The same for a part. One that was in flight beside the one at fault is
/// cleared only by ends that are kept for both.
constexpr std::size_t max_ends_of_part = 4 * CrashHistory::most_ends;

} // namespace

/// Returns whether an end came after the last complete answer.
bool
CrashHistory::Key::counts(const End& end) const
{
    return !answered_at || end.ended_at > *answered_at;
}

std::size_t
CrashHistory::Key::end_count() const
{
    return static_cast<std::size_t>(
        std::count_if(ends.begin(), ends.end(),
                      [this](const End& end) { return counts(end); }));
}

/// Returns whether one of the calls was sent when another end was already
/// known.
bool
CrashHistory::Key::has_repeated_end() const
{
    return std::any_of(ends.begin(), ends.end(), [this](const End& end) {
        return end.again && counts(end);
    });
}

Micros
CrashHistory::Key::report_span() const
{
    return ends.size() > 1 ? suspect_report_time : report_time;
}

bool
CrashHistory::Key::has_valid_record() const
{
    return recorded_at && (!answered_at || *recorded_at > *answered_at);
}

/// Returns whether the ends alone would block the key.
bool
CrashHistory::Key::is_suspect() const
{
    return end_count() >= most_ends && has_repeated_end();
}

/// Returns whether no answer that came before the ends were known, at whatever
/// instance, can still be unknown here.
bool
CrashHistory::Key::is_settled(TimePoint now) const
{
    if (!is_part || !answered_at)
        return true;
    return suspect_since && now >= *suspect_since + settle_time;
}

/// Makes room for one more end. Returns false if that one is older than all
/// that are kept of a part: it would be dropped, and reported by others, again
/// and again.
bool
CrashHistory::Key::make_room(TimePoint ended_at)
{
    if (ends.size() < (is_part ? max_ends_of_part : max_ends_of_request))
        return true;
    const auto oldest = std::min_element(
        ends.begin(), ends.end(), [](const End& one, const End& other) {
            return one.ended_at < other.ended_at;
        });
    if (is_part && ended_at <= oldest->ended_at)
        return false;
    ends.erase(is_part ? oldest : ends.begin());
    return true;
}

/// Returns whether other keys explain the ends under this one.
bool
CrashHistory::Key::is_explained() const
{
    return is_suspect() && !is_culprit;
}

bool
CrashHistory::Key::is_blocked(TimePoint now) const
{
    if (has_valid_record() && !is_explained())
        return true;
    return is_culprit && is_settled(now);
}

bool
CrashHistory::Key::may_be_tried(TimePoint now) const
{
    return is_part && is_culprit && (answered_at || is_tied) &&
           trials < trial_pauses.size() &&
           now >= last_at + trial_pauses[trials];
}

bool
CrashHistory::Key::is_held(TimePoint now) const
{
    return held_at && now < *held_at + decision_time &&
           end_count() >= most_ends &&
           (!answered_at || *held_at > *answered_at);
}

} // namespace crosslink
