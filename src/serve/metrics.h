// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace crosslink
{

/// A distribution of durations with its quantiles, estimated by
/// Boost.Accumulators. Thread-safe.
class TimeSummary
{
public:
    TimeSummary();
    ~TimeSummary();

    void add(Micros span);
    /// Returns a summary in seconds in the Prometheus text format. The metric
    /// is called "crosslink_" and `name`.
    std::string text(const std::string& name, const std::string& help) const;

private:
    class Impl;
    mutable std::mutex m_mutex;
    std::unique_ptr<Impl> m_impl;
};

/// The counters and times of one entry instance.
struct Metrics {
    using Counter = std::atomic<std::uint64_t>;

    Counter requests{0};
    Counter answered{0};
    Counter refused_not_run{0};
    Counter failed_may_have_run{0};
    Counter callers_gone{0};
    Counter attempts{0};
    Counter resumes{0};
    Counter continuations{0};
    Counter frames_dropped{0};
    Counter prompt_tokens{0};
    Counter reused_tokens{0};
    Counter fetches{0};
    Counter fetches_unsound{0};
    Counter fetches_failed{0};
    Counter fetched_bytes{0};
    Counter blocks_exported{0};
    Counter exports_failed{0};
    Counter claims_granted{0};
    Counter claims_held{0};
    Counter claims_expired{0};
    Counter claims_unavailable{0};
    Counter claim_writes{0};
    Counter configuration_changes{0};
    Counter gossip_rounds{0};
    TimeSummary first_token;
    TimeSummary between_tokens;
    TimeSummary decision; ///< From the request's arrival to its dispatch.
    TimeSummary claim;

    /// Returns all metrics in the Prometheus text format (version 0.0.4).
    std::string text() const;
};

} // namespace crosslink
