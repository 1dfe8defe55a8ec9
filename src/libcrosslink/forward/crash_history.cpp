// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/crash_history.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Ends under one runner id that are less than this apart are the same end,
/// seen by several instances or on connections that were kept from before it: a
/// process takes longer to start and accept a call.
constexpr Micros same_end_window = std::chrono::seconds(2);
/// Time within which it is decided whether a runner ended, if at all.
constexpr Micros decision_time = std::chrono::seconds(6);
/// Time for which new information is reported to other instances. Three
/// exchanges up the tree and three down take 0.8 s, and one that fails adds 0.4
/// s.
constexpr Micros report_time = std::chrono::milliseconds(1500);
/// The same if more than one runner ended. This concerns few requests, and
/// zones that were cut off from each other must learn of them after the
/// partition.
constexpr Micros suspect_report_time = std::chrono::seconds(15);
/// Maximum number of calls in one report, those of the most suspect requests
/// first. At 30 bytes each they take 5 KB, or 4 ms on the slowest links.
constexpr std::size_t max_reported = 160;
/// Maximum number of ends kept for a request. It is more than the number that
/// blocks one, so that enough of them remain if an answer came in between.
constexpr std::size_t max_ends_kept = 2 * CrashHistory::most_ends;

} // namespace

/// Returns whether an end came after the last complete answer.
bool
CrashHistory::Request::counts(const End& end) const
{
    return !answered_at || end.ended_at > *answered_at;
}

std::size_t
CrashHistory::Request::end_count() const
{
    return static_cast<std::size_t>(
        std::count_if(ends.begin(), ends.end(),
                      [this](const End& end) { return counts(end); }));
}

/// Returns whether one of the calls was sent when another end was already
/// known.
bool
CrashHistory::Request::has_repeated_end() const
{
    return std::any_of(ends.begin(), ends.end(), [this](const End& end) {
        return end.again && counts(end);
    });
}

Micros
CrashHistory::Request::report_span() const
{
    return ends.size() > 1 ? suspect_report_time : report_time;
}

bool
CrashHistory::Request::has_valid_record() const
{
    return recorded_at && (!answered_at || *recorded_at > *answered_at);
}

bool
CrashHistory::Request::is_blocked() const
{
    return has_valid_record() ||
           (end_count() >= most_ends && has_repeated_end());
}

bool
CrashHistory::Request::is_held(TimePoint now) const
{
    return held_at && now < *held_at + decision_time &&
           end_count() >= most_ends &&
           (!answered_at || *held_at > *answered_at);
}

const CrashHistory::Request*
CrashHistory::find(std::string_view request, TimePoint now) const
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.last_at + remembered < now)
        return nullptr;
    return &found->second;
}

/// A process ends only once. If its start time is unknown, the end of a later
/// process with the same id is recognized by its time.
bool
CrashHistory::is_same_end(const End& known, const InterruptedCall& call)
{
    if (known.runner != call.runner || known.start_ms != call.start_ms)
        return false;
    const Micros apart = std::chrono::abs(known.ended_at - call.ended_at);
    return call.start_ms != 0 || apart < same_end_window;
}

bool
CrashHistory::ended(const InterruptedCall& call, TimePoint now)
{
    if (call.ended_at + remembered < now)
        return false;
    Request& request = find_or_add(call.request, now);
    for (End& known : request.ends) {
        if (!is_same_end(known, call))
            continue;
        // Each path adds its delay, so that the earliest time is the most
        // accurate.
        known.ended_at = std::min(known.ended_at, call.ended_at);
        known.again = known.again || call.again;
        return false;
    }
    if (request.ends.size() >= max_ends_kept)
        request.ends.erase(request.ends.begin());
    request.ends.push_back(
        {call.runner, call.start_ms, call.again, call.ended_at, now});
    request.last_at = std::max(request.last_at, call.ended_at);
    // The instance that reported the end does not know of the later answer.
    if (!request.counts(request.ends.back()))
        request.answer_learned_at = now;
    mark_changed(request, now);
    return true;
}

void
CrashHistory::answered(std::string_view request, TimePoint at, TimePoint now)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end()) {
        remember_answer(request, at);
        return;
    }
    Request& known = found->second;
    if (known.answered_at && *known.answered_at >= at)
        return;
    // For a request that many callers send, an occasional report is enough.
    const bool is_relevant = known.end_count() > 0 || known.has_valid_record();
    known.answered_at = at;
    if (!is_relevant)
        return;
    known.answer_learned_at = now;
    mark_changed(known, now);
}

std::vector<std::string>
CrashHistory::take_newly_blocked(TimePoint now)
{
    std::vector<std::string> requests;
    for (auto& [digest, request] : m_requests) {
        const bool is_blocked = find(digest, now) && request.is_blocked();
        if (is_blocked && !request.reported_blocked)
            requests.push_back(digest);
        request.reported_blocked = is_blocked;
    }
    return requests;
}

/// Remembers the answer, because other instances may later report that a runner
/// had ended under the request before. Otherwise the fleet would block a
/// popular request for a moment when runners are lost in waves a second apart:
/// the few instances that serve it then learn of the first wave only after they
/// got answers.
void
CrashHistory::remember_answer(std::string_view request, TimePoint at)
{
    const auto [noted, is_new] =
        m_answers.insert_or_assign(std::string(request), at);
    if (!is_new)
        return;
    m_answer_order.push_back(noted->first);
    if (m_answer_order.size() <= most_answers)
        return;
    m_answers.erase(m_answer_order.front());
    m_answer_order.pop_front();
}

bool
CrashHistory::blocked(std::string_view request, TimePoint now) const
{
    const Request* known = find(request, now);
    return known && (known->is_blocked() || known->is_held(now));
}

void
CrashHistory::hold(std::string_view request, TimePoint at, TimePoint now)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.end_count() < most_ends)
        return;
    Request& known = found->second;
    if (known.held_at && *known.held_at >= at)
        return;
    known.held_at = at;
    mark_changed(known, now);
}

std::size_t
CrashHistory::ends(std::string_view request) const
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? 0 : found->second.end_count();
}

/// Adds what was recently learned of `request` to `update`.
void
CrashHistory::add_to_update(const std::string& digest, const Request& request,
                            TimePoint now, CrashUpdate& update)
{
    const Micros span = request.report_span();
    const auto is_new = [now, span](TimePoint learned_at) {
        return learned_at + span > now;
    };
    for (const End& end : request.ends)
        if (is_new(end.learned_at) && update.broken.size() < max_reported)
            update.broken.push_back({digest, end.runner, end.start_ms,
                                     end.again, now - end.ended_at});
    if (request.answered_at && is_new(request.answer_learned_at))
        update.answered.push_back({digest, now - *request.answered_at});
    if (request.is_held(now))
        update.held.push_back({digest, now - *request.held_at});
}

CrashUpdate
CrashHistory::update(TimePoint now) const
{
    CrashUpdate update;
    if (now >= m_report_until)
        return update;
    std::vector<const Requests::value_type*> suspects;
    for (const auto& item : m_requests)
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

/// Marks what was learned of `request` as to be reported to other instances.
void
CrashHistory::mark_changed(Request& request, TimePoint now)
{
    request.report_until = now + request.report_span();
    m_report_until = std::max(m_report_until, request.report_until);
}

void
CrashHistory::merge(const CrashUpdate& update, TimePoint as_of, TimePoint now)
{
    for (const CrashUpdate::Broken& call : update.broken)
        ended({call.request, call.runner, call.start_ms, call.again,
               as_of - call.since_end},
              now);
    for (const CrashUpdate::Answered& answer : update.answered)
        answered(answer.request, as_of - answer.since, now);
    for (const CrashUpdate::Held& item : update.held)
        hold(item.request, as_of - item.since, now);
}

void
CrashHistory::recorded(std::string_view request, TimePoint now)
{
    Request& known = find_or_add(request, now);
    if (!known.recorded_at)
        known.recorded_at = now;
    known.is_record_lost = false;
    known.last_at = std::max(known.last_at, now);
}

void
CrashHistory::record_restored(std::string_view request, TimePoint now)
{
    Request& known = find_or_add(request, now);
    if (!known.recorded_at)
        known.recorded_at = known.answered_at.value_or(now);
    known.last_at = std::max(known.last_at, now);
}

void
CrashHistory::record_lost(std::string_view request)
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end() && found->second.recorded_at)
        found->second.is_record_lost = true;
}

void
CrashHistory::unrecorded(std::string_view request)
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end() && found->second.recorded_at &&
        !found->second.is_record_lost)
        m_requests.erase(found);
}

void
CrashHistory::recorded_only(const std::set<std::string>& requests)
{
    std::erase_if(m_requests, [&requests](const auto& item) {
        return item.second.recorded_at && !item.second.is_record_lost &&
               !requests.contains(item.first);
    });
}

std::vector<std::string>
CrashHistory::to_record(TimePoint now) const
{
    std::vector<std::string> requests;
    for (const auto& [digest, request] : m_requests) {
        const bool has_record = request.recorded_at && !request.is_record_lost;
        if (!has_record && find(digest, now) && request.is_blocked())
            requests.push_back(digest);
    }
    return requests;
}

std::vector<std::string>
CrashHistory::to_unrecord() const
{
    std::vector<std::string> requests;
    for (const auto& [digest, request] : m_requests)
        if (request.recorded_at && !request.has_valid_record())
            requests.push_back(digest);
    return requests;
}

/// Returns what is known of `request`. A new request is added, in place of
/// another one if necessary.
CrashHistory::Request&
CrashHistory::find_or_add(std::string_view request, TimePoint now)
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end() && found->second.last_at + remembered >= now)
        return found->second;
    expire(now);
    if (m_requests.size() >= most_requests)
        evict_least_suspect();
    Request& added = m_requests[std::string(request)];
    const auto answer = m_answers.find(request);
    if (answer != m_answers.end())
        added.answered_at = answer->second;
    return added;
}

void
CrashHistory::expire(TimePoint now)
{
    std::erase_if(m_requests, [now](const auto& item) {
        return item.second.last_at + remembered < now;
    });
}

/// Drops the least suspect request: one that is not blocked if possible, with
/// the fewest ends, and of those the one that was updated least recently.
void
CrashHistory::evict_least_suspect()
{
    const auto least_suspect = std::min_element(
        m_requests.begin(), m_requests.end(), [](const auto& a, const auto& b) {
            const bool blocked_a = a.second.is_blocked();
            const bool blocked_b = b.second.is_blocked();
            if (blocked_a != blocked_b)
                return blocked_b;
            if (a.second.ends.size() != b.second.ends.size())
                return a.second.ends.size() < b.second.ends.size();
            return a.second.last_at < b.second.last_at;
        });
    m_requests.erase(least_suspect);
}

} // namespace crosslink
