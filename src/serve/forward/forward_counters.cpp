// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "forward_counters.h"

#include <sstream>

namespace crosslink
{

std::string
ForwardCounters::text() const
{
    std::ostringstream out;
    const auto counter = [&out](const char* name, const Counter& value) {
        out << "# TYPE crosslink_" << name << " counter\ncrosslink_" << name
            << ' ' << value.load() << '\n';
    };
    counter("calls_total", calls);
    counter("calls_answered_total", answered);
    counter("calls_refused_total", refused);
    counter("calls_failed_total", failed);
    counter("callers_gone_total", callers_gone);
    counter("sends_total", sends);
    counter("repeats_total", repeats);
    counter("calls_runner_ended_total", runner_ends);
    counter("requests_blocked_total", requests_blocked);
    counter("calls_blocked_total", calls_blocked);
    counter("limits_changed_total", limits_changed);
    counter("calls_limited_total", calls_limited);
    counter("runners_leaving_total", runners_leaving);
    counter("runner_backoffs_total", runner_backoffs);
    counter("parts_fetched_total", parts_fetched);
    counter("parts_saved_total", parts_saved);
    counter("parts_read_total", parts_read);
    counter("polls_refused_total", polls_refused);
    counter("paths_cut_total", paths_cut);
    counter("calls_relayed_total", calls_relayed);
    counter("relays_vain_total", relays_vain);
    counter("relays_served_total", relays_served);
    counter("relays_refused_total", relays_refused);
    counter("refused_queue_too_long_total", queue_too_long);
    counter("refused_less_urgent_total", less_urgent);
    counter("refused_above_share_total", above_share);
    counter("shares_borrowed_total", shares_borrowed);
    counter("shares_lent_total", shares_lent);
    counter("shares_denied_total", shares_denied);
    counter("streams_refused_total", streams_refused);
    counter("hedges_total", hedges);
    counter("hedges_won_total", hedges_won);
    out << "# TYPE crosslink_hedges_denied_total counter\n";
    for (std::size_t i = 0; i < hedges_denied.size(); ++i)
        out << "crosslink_hedges_denied_total{reason=\""
            << hedge_denial_name(static_cast<HedgeDenial>(i)) << "\"} "
            << hedges_denied[i].load() << '\n';
    out << "# TYPE crosslink_relays_open gauge\ncrosslink_relays_open "
        << relays_open.load() << '\n';
    out << "# TYPE crosslink_runners_limited gauge\ncrosslink_runners_limited "
        << runners_limited.load() << '\n';
    out << first_event.text("crosslink_first_event_seconds",
                            "From a call's arrival to its first event")
        << whole_answer.text("crosslink_whole_answer_seconds",
                             "From a call's arrival to its whole answer")
        << kept_question.text("crosslink_kept_question_seconds",
                              "To learn where the parts of a prompt lie")
        << load_age.text("crosslink_load_age_seconds",
                         "Age of the others' load when it was learned")
        << news_age.text("crosslink_news_age_seconds",
                         "Age of the platform's news when they were learned");
    return out.str();
}

} // namespace crosslink
