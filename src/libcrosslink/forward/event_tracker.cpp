// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/number.h>
#include <crosslink/forward/event_tracker.h>

namespace crosslink
{

namespace
{

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id:";

/// Returns the number in the id field of `event`, or nothing if it has none.
std::optional<std::uint64_t>
number_of(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size()
                                                          : end + 1);
        if (!line.starts_with(id_field))
            continue;
        line.remove_prefix(id_field.size());
        const auto number =
            parse_leading_integer<std::uint64_t>(without_leading_spaces(line));
        if (number)
            return number;
    }
    return std::nullopt;
}

} // namespace

EventTracker::EventTracker(std::optional<std::uint64_t> last_event)
    : m_last(last_event)
{
}

std::string
EventTracker::take(std::string_view bytes)
{
    m_rest += bytes;
    std::string whole;
    std::size_t begin = 0;
    while (!m_gap) {
        const std::size_t end = m_rest.find(event_end, begin);
        if (end == std::string::npos)
            break;
        const std::size_t next = end + event_end.size();
        const std::string_view event =
            std::string_view(m_rest).substr(begin, next - begin);
        begin = next;
        const auto number = number_of(event);
        if (number && m_last && *number <= *m_last)
            continue;
        if (number && m_last && *number > *m_last + 1) {
            m_gap = true;
            break;
        }
        if (number)
            m_last = number;
        whole += event;
    }
    m_rest.erase(0, begin);
    if (m_rest.size() > max_event_bytes)
        m_gap = true;
    return whole;
}

void
EventTracker::begin_run()
{
    m_rest.clear();
    m_gap = false;
}

} // namespace crosslink
