// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/crash_history.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Ends of one id that are less apart are the same end, seen by several
/// instances, or by calls on connections that were kept from before it: a
/// process takes longer to start and take a call.
constexpr Micros same_end = std::chrono::seconds(2);
/// A verdict on a runner comes in this time, or not at all.
constexpr Micros verdict_time = std::chrono::seconds(6);
/// For so long what was learned is told on. Two exchanges on the way up and two
/// down take 0.6 s, one that fails on the way 0.4 s more.
constexpr Micros told_for = std::chrono::milliseconds(1500);
/// So long where more than one runner ended: few requests, which zones that
/// were cut off from each other must hear of when they meet again. With the
/// shorter time, 300 instances sent one four times more after a cut of 5 s (in
/// one of eight plays; three are allowed).
constexpr Micros suspect_told_for = std::chrono::seconds(15);
/// Most calls that are told at once, those of the most suspect requests first.
/// With 30 bytes each they are 5 KB, 4 ms on the weakest links.
constexpr std::size_t most_told = 160;
/// Ends of one request that are kept. More than the ones that block it, so that
/// an answer in between leaves enough.
constexpr std::size_t most_kept = 2 * CrashHistory::most_ends;

} // namespace

/// Returns whether an end came after the last whole answer.
bool
CrashHistory::Request::counts(const End& end) const
{
    return !answered_at || end.ended_at > *answered_at;
}

std::size_t
CrashHistory::Request::counted() const
{
    return static_cast<std::size_t>(
        std::count_if(ends.begin(), ends.end(),
                      [this](const End& end) { return counts(end); }));
}

/// Returns whether one of the calls was sent when another end was known.
bool
CrashHistory::Request::ended_again() const
{
    return std::any_of(ends.begin(), ends.end(), [this](const End& end) {
        return end.again && counts(end);
    });
}

Micros
CrashHistory::Request::told_span() const
{
    return ends.size() > 1 ? suspect_told_for : told_for;
}

bool
CrashHistory::Request::record_holds() const
{
    return recorded_at && (!answered_at || *recorded_at > *answered_at);
}

bool
CrashHistory::Request::is_blocked() const
{
    return record_holds() || (counted() >= most_ends && ended_again());
}

bool
CrashHistory::Request::is_held(TimePoint now) const
{
    return held_at && now < *held_at + verdict_time && counted() >= most_ends &&
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

/// A process ends once. Where its start is not known, a later one of the same
/// id is told by the time.
bool
CrashHistory::is_same_end(const End& known, const InterruptedCall& call)
{
    if (known.runner != call.runner || known.start_ms != call.start_ms)
        return false;
    const Micros apart = std::chrono::abs(known.ended_at - call.ended_at);
    return call.start_ms != 0 || apart < same_end;
}

bool
CrashHistory::ended(const InterruptedCall& call, TimePoint now)
{
    if (call.ended_at + remembered < now)
        return false;
    Request& request = touch(call.request, now);
    for (End& known : request.ends) {
        if (!is_same_end(known, call))
            continue;
        // Each way adds its delay: the shortest one is closest to the truth.
        known.ended_at = std::min(known.ended_at, call.ended_at);
        known.again = known.again || call.again;
        return false;
    }
    if (request.ends.size() >= most_kept)
        request.ends.erase(request.ends.begin());
    request.ends.push_back(
        {call.runner, call.start_ms, call.again, call.ended_at, now});
    request.last_at = std::max(request.last_at, call.ended_at);
    // Who told of the end knows of no answer since.
    if (!request.counts(request.ends.back()))
        request.answer_learned_at = now;
    learned(request, now);
    return true;
}

void
CrashHistory::answered(std::string_view request, TimePoint at, TimePoint now)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end()) {
        note_answer(request, at);
        return;
    }
    Request& known = found->second;
    if (known.answered_at && *known.answered_at >= at)
        return;
    // One word in a while is enough for a request that many send.
    const bool is_news = known.counted() > 0 || known.record_holds();
    known.answered_at = at;
    if (!is_news)
        return;
    known.answer_learned_at = now;
    learned(known, now);
}

std::vector<std::string>
CrashHistory::take_newly_blocked(TimePoint now)
{
    std::vector<std::string> requests;
    for (auto& [digest, request] : m_requests) {
        const bool is_blocked = find(digest, now) && request.is_blocked();
        if (is_blocked && !request.told_blocked)
            requests.push_back(digest);
        request.told_blocked = is_blocked;
    }
    return requests;
}

/// Others may tell later that a runner had ended under the request. Without
/// this, the fleet blocked a popular one for a moment where runners were lost
/// in waves a second apart: of 71 instances, the few that served it then had
/// heard of the first wave only after they had answers.
void
CrashHistory::note_answer(std::string_view request, TimePoint at)
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
    if (found == m_requests.end() || found->second.counted() < most_ends)
        return;
    Request& known = found->second;
    if (known.held_at && *known.held_at >= at)
        return;
    known.held_at = at;
    learned(known, now);
}

std::size_t
CrashHistory::ends(std::string_view request) const
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? 0 : found->second.counted();
}

/// Adds what was learned of `request` lately to `news`.
void
CrashHistory::add_news(const std::string& digest, const Request& request,
                       TimePoint now, CrashUpdate& news)
{
    const Micros span = request.told_span();
    const auto is_new = [now, span](TimePoint learned_at) {
        return learned_at + span > now;
    };
    for (const End& end : request.ends)
        if (is_new(end.learned_at) && news.broken.size() < most_told)
            news.broken.push_back({digest, end.runner, end.start_ms, end.again,
                                   now - end.ended_at});
    if (request.answered_at && is_new(request.answer_learned_at))
        news.answered.push_back({digest, now - *request.answered_at});
    if (request.is_held(now))
        news.held.push_back({digest, now - *request.held_at});
}

CrashUpdate
CrashHistory::news(TimePoint now) const
{
    CrashUpdate news;
    if (now >= m_news_until)
        return news;
    std::vector<const Requests::value_type*> suspects;
    for (const auto& item : m_requests)
        if (item.second.told_until > now)
            suspects.push_back(&item);
    std::stable_sort(suspects.begin(), suspects.end(),
                     [](const auto* a, const auto* b) {
                         return a->second.ends.size() > b->second.ends.size();
                     });
    for (const auto* item : suspects)
        add_news(item->first, item->second, now, news);
    return news;
}

/// Takes note that something was learned of `request` that is to be told on.
void
CrashHistory::learned(Request& request, TimePoint now)
{
    request.told_until = now + request.told_span();
    m_news_until = std::max(m_news_until, request.told_until);
}

void
CrashHistory::take(const CrashUpdate& news, TimePoint as_of, TimePoint now)
{
    for (const CrashUpdate::Broken& call : news.broken)
        ended({call.request, call.runner, call.start_ms, call.again,
               as_of - call.since_end},
              now);
    for (const CrashUpdate::Answered& answer : news.answered)
        answered(answer.request, as_of - answer.since, now);
    for (const CrashUpdate::Held& item : news.held)
        hold(item.request, as_of - item.since, now);
}

void
CrashHistory::recorded(std::string_view request, TimePoint now)
{
    Request& known = touch(request, now);
    if (!known.recorded_at)
        known.recorded_at = now;
    known.last_at = std::max(known.last_at, now);
}

void
CrashHistory::unrecorded(std::string_view request)
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end() && found->second.recorded_at)
        m_requests.erase(found);
}

void
CrashHistory::recorded_only(const std::set<std::string>& requests)
{
    std::erase_if(m_requests, [&requests](const auto& item) {
        return item.second.recorded_at && !requests.contains(item.first);
    });
}

std::vector<std::string>
CrashHistory::to_record(TimePoint now) const
{
    std::vector<std::string> requests;
    for (const auto& [digest, request] : m_requests)
        if (!request.recorded_at && find(digest, now) && request.is_blocked())
            requests.push_back(digest);
    return requests;
}

std::vector<std::string>
CrashHistory::to_unrecord() const
{
    std::vector<std::string> requests;
    for (const auto& [digest, request] : m_requests)
        if (request.recorded_at && !request.record_holds())
            requests.push_back(digest);
    return requests;
}

/// Returns what is known of `request`, with room made for it where it is new.
CrashHistory::Request&
CrashHistory::touch(std::string_view request, TimePoint now)
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end() && found->second.last_at + remembered >= now)
        return found->second;
    expire(now);
    if (m_requests.size() >= most_requests)
        make_room();
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

/// Forgets the request that is the least suspect: the one with the fewest ends,
/// and of those the one of which nothing was heard for longest.
void
CrashHistory::make_room()
{
    const auto least = std::min_element(
        m_requests.begin(), m_requests.end(), [](const auto& a, const auto& b) {
            const bool blocked_a = a.second.is_blocked();
            const bool blocked_b = b.second.is_blocked();
            if (blocked_a != blocked_b)
                return blocked_b;
            if (a.second.ends.size() != b.second.ends.size())
                return a.second.ends.size() < b.second.ends.size();
            return a.second.last_at < b.second.last_at;
        });
    m_requests.erase(least);
}

} // namespace crosslink
