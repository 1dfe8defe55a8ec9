// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/admission_counts.h>

#include <sstream>

namespace crosslink
{

namespace
{

constexpr const char* other = "other";

/// Returns `value` as the text format has it between quotes.
std::string
escaped(std::string_view value)
{
    std::string text;
    for (const char letter : value) {
        if (letter == '"' || letter == '\\')
            text += '\\';
        if (letter == '\n')
            text += "\\n";
        else
            text += letter;
    }
    return text;
}

} // namespace

AdmissionCounts::Counts&
AdmissionCounts::counts_of(std::string_view service, std::uint32_t priority)
{
    const Key key(service, std::to_string(priority));
    const auto found = m_counts.find(key);
    if (found != m_counts.end())
        return found->second;
    return m_counts[m_counts.size() + 1 < max_rows ? key : Key(other, other)];
}

void
AdmissionCounts::requested(std::string_view service, std::uint32_t priority)
{
    ++counts_of(service, priority).requested;
}

void
AdmissionCounts::refused(std::string_view service, std::uint32_t priority,
                         QueueRefusal::Reason reason)
{
    ++counts_of(service, priority).refused.at(static_cast<std::size_t>(reason));
}

std::string
AdmissionCounts::text() const
{
    using Reason = QueueRefusal::Reason;
    std::ostringstream requested;
    std::ostringstream refused;
    requested << "# TYPE crosslink_admission_calls_total counter\n";
    refused << "# TYPE crosslink_admission_refused_total counter\n";
    for (const auto& [key, counts] : m_counts) {
        const std::string labels = "{service=\"" + escaped(key.first) +
                                   "\",priority=\"" + key.second + '"';
        requested << "crosslink_admission_calls_total" << labels << "} "
                  << counts.requested << '\n';
        for (const Reason reason :
             {Reason::QueueTooLong, Reason::LessUrgent, Reason::AboveShare})
            refused << "crosslink_admission_refused_total" << labels
                    << ",reason=\"" << queue_refusal_name(reason) << "\"} "
                    << counts.refused.at(static_cast<std::size_t>(reason))
                    << '\n';
    }
    return requested.str() + refused.str();
}

} // namespace crosslink
