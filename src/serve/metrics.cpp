// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "metrics.h"

#include <crosslink/base/invariants.h>

// g++ wrongly reports members of an accumulator as uninitialized here.
#pragma GCC diagnostic push
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <vector>

namespace crosslink
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array quantiles{0.5, 0.95, 0.99};
/// Probabilities that the estimator tracks; they include all of `quantiles`.
const std::vector<double> estimator_points{0.25, 0.5,  0.75, 0.9,
                                           0.95, 0.99, 0.999};

std::string
counter_text(const char* name, const char* help, std::uint64_t value)
{
    const std::string full = std::string("crosslink_") + name;
    return "# HELP " + full + " " + help + "\n# TYPE " + full + " counter\n" +
           full + " " + std::to_string(value) + "\n";
}

std::string
invariants_text()
{
    std::string text = "# HELP crosslink_invariant_breaches Promises that "
                       "were found broken and stopped\n# TYPE "
                       "crosslink_invariant_breaches counter\n";
    for (int i = 0; i < static_cast<int>(Invariant::Count_); ++i) {
        const auto invariant = static_cast<Invariant>(i);
        text += "crosslink_invariant_breaches{promise=\"" +
                std::string(invariant_name(invariant)) + "\"} " +
                std::to_string(InvariantCounters::instance().count(invariant)) +
                "\n";
    }
    return text;
}

} // namespace

class TimeSummary::Impl
{
public:
    using Accumulator =
        acc::accumulator_set<double,
                             acc::stats<acc::tag::count, acc::tag::sum,
                                        acc::tag::extended_p_square_quantile>>;

    Accumulator accumulator{acc::extended_p_square_probabilities =
                                estimator_points};
};

TimeSummary::TimeSummary() : m_impl(std::make_unique<Impl>())
{
}

TimeSummary::~TimeSummary() = default;

void
TimeSummary::add(Micros span)
{
    const std::lock_guard lock(m_mutex);
    m_impl->accumulator(seconds(span));
}

std::string
TimeSummary::text(const std::string& name, const std::string& help) const
{
    const std::lock_guard lock(m_mutex);
    const std::string full = "crosslink_" + name;
    std::string text =
        "# HELP " + full + " " + help + "\n# TYPE " + full + " summary\n";
    const auto& values = m_impl->accumulator;
    const std::size_t count = acc::count(values);
    for (const double quantile : quantiles) {
        const double value =
            count == 0
                ? 0
                : acc::quantile(values, acc::quantile_probability = quantile);
        text += full + "{quantile=\"" + std::to_string(quantile) + "\"} " +
                std::to_string(value) + "\n";
    }
    text += full + "_sum " + std::to_string(acc::sum(values)) + "\n";
    text += full + "_count " + std::to_string(count) + "\n";
    return text;
}

std::string
Metrics::text() const
{
    std::string text;
    const auto add = [&text](const char* name, const char* help,
                             const Counter& counter) {
        text += counter_text(name, help, counter);
    };
    add("requests_total", "Requests received", requests);
    add("answered_total", "Requests answered whole", answered);
    add("refused_not_run_total", "Requests refused, not run", refused_not_run);
    add("failed_may_have_run_total", "Requests failed that may have run",
        failed_may_have_run);
    add("callers_gone_total", "Callers that went away", callers_gone);
    add("attempts_total", "Runs sent to engines", attempts);
    add("resumes_total", "Streams taken up again", resumes);
    add("continuations_total", "Answers continued on another engine",
        continuations);
    add("frames_dropped_total", "Frames of other attempts dropped",
        frames_dropped);
    add("prompt_tokens_total", "Prompt tokens of whole answers", prompt_tokens);
    add("reused_tokens_total", "Prompt tokens not computed again",
        reused_tokens);
    add("fetches_total", "Fetches of kept blocks", fetches);
    add("fetches_unsound_total", "Fetches discarded by the check",
        fetches_unsound);
    add("fetches_failed_total", "Fetches that failed", fetches_failed);
    add("fetched_bytes_total", "Bytes of kept blocks fetched", fetched_bytes);
    add("blocks_exported_total", "Blocks sealed in stores", blocks_exported);
    add("exports_failed_total", "Exports that failed", exports_failed);
    add("claims_granted_total", "Claims granted", claims_granted);
    add("claims_held_total", "Claims held by another request", claims_held);
    add("claims_expired_total", "Keys older than the age limit",
        claims_expired);
    add("claims_unavailable_total", "Claims that could not be decided",
        claims_unavailable);
    add("claim_writes_total", "Writes to the platform for claims",
        claim_writes);
    add("configuration_changes_total", "Revisions put in force",
        configuration_changes);
    add("gossip_rounds_total", "Exchanges with peers", gossip_rounds);
    text += first_token.text("first_token_seconds", "Time to first token");
    text += between_tokens.text("between_tokens_seconds",
                                "Time between two tokens");
    text += decision.text("decision_seconds", "Time until a run is sent");
    text += claim.text("claim_seconds", "Time until a claim is decided");
    text += invariants_text();
    return text;
}

} // namespace crosslink
