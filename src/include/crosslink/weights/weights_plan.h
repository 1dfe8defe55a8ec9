// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/runner_table.h>
#include <crosslink/weights/weights_history.h>

#include <compare>
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

/// Result of an order to a runner.
enum class OrderOutcome {
    Accepted,      ///< It is being carried out.
    AlreadyLoaded, ///< The runner has the weights already.
    Busy,    ///< Another order is in progress, or the state did not match.
    Refused, ///< It will not be carried out.
    Unknown, ///< No answer: it may be carried out, now or later.
};

/// An order to load new weights.
struct WeightsOrder {
    std::string runner;
    std::uint64_t start_ms = 0; ///< Start of its process, in Unix milliseconds.
    std::string address;
    std::string model;
    std::uint64_t version = 0;
};

/// Plans how all runners get the newest weights that were named: a fraction of
/// them loads at a time, so that the others continue to serve. The instance
/// that holds the duty maintains the plan; a new holder begins with an empty
/// one and learns from the versions that the runners report.
class WeightsPlan
{
public:
    /// All runners are to have new weights `bound` after they were named.
    explicit WeightsPlan(Micros bound) : m_bound(bound) {}

    /// Sets the versions of `model` that were named.
    void follow(std::string_view model, const WeightsHistory& history);

    /// Returns the orders that are due at `now`. They count as sent.
    std::vector<WeightsOrder> due(const RunnerTable& runners, TimePoint now);
    /// Records that an order of due() was not sent. It is due again a little
    /// later.
    void not_sent(const WeightsOrder& order, TimePoint now);
    /// Records the outcome of an order.
    void ordered(const WeightsOrder& order, OrderOutcome outcome,
                 TimePoint now);
    /// Returns the open orders, whose runners are to be asked for their state.
    std::vector<WeightsOrder> open() const;
    /// Returns the orders that were carried out recently, for the instances
    /// that send calls to the runners.
    std::vector<WeightsOrder> loaded(TimePoint now);
    /// Records the version of the weights that the runner of `order` reports
    /// for the model of that order.
    void reported(const WeightsOrder& order, std::uint64_t version, bool busy,
                  TimePoint now);
    /// Records that a runner did not answer a request for its state. It may
    /// still carry out its order, but other runners need not wait for it.
    void report_failed(const WeightsOrder& order);
    /// Returns the listed runners that have older weights than the newest, and
    /// have not accepted an order to load these.
    std::set<std::string, std::less<>>
    outdated(const RunnerTable& runners) const;
    /// Returns the fraction, 0 to 1, of the listed runners that have the newest
    /// weights of each model.
    double updated_fraction(const RunnerTable& runners) const;

private:
    struct OpenOrder {
        WeightsOrder order;
        TimePoint sent_at;       ///< When it was sent, or accepted.
        TimePoint last_response; ///< When the runner last answered, or when it
                                 ///< was sent.
        bool accepted = false;
        bool unanswered = false; ///< A request since then got no answer.

        void record_response(TimePoint now)
        {
            last_response = now;
            unanswered = false;
        }
        /// The time of an order counts from its acceptance, since it may be
        /// queued before it reaches the runner.
        void accept(TimePoint now)
        {
            if (!accepted)
                sent_at = now;
            accepted = true;
        }
    };

    using OpenOrders = std::map<std::string, OpenOrder, std::less<>>;

    struct Loaded {
        WeightsOrder order;
        TimePoint at{};
    };

    struct RunnerModel {
        std::string runner;
        std::string model;

        auto operator<=>(const RunnerModel&) const = default;
    };

    /// When a runner may get another order, after orders that failed.
    struct Retry {
        std::uint64_t version = 0; ///< Version that was ordered.
        TimePoint at{};
        std::uint32_t failures = 0; ///< Consecutive ones.
    };

    OpenOrders::iterator find_open(const WeightsOrder& order);
    Retry& retry_for(const WeightsOrder& order);
    bool must_wait(const RunnerModel& runner, std::uint64_t version,
                   TimePoint now) const;
    void record_failure(const WeightsOrder& order, TimePoint now);
    void delay_retry(const WeightsOrder& order, Micros time, TimePoint now);
    void drop_overdue(const RunnerTable& runners, TimePoint now);
    std::vector<const RunnerEntry*> outdated_runners(std::string_view model,
                                                     const RunnerTable& runners,
                                                     TimePoint now) const;
    std::size_t slots_taken(std::string_view model, TimePoint now) const;
    std::size_t load_limit(std::string_view model, const RunnerTable& runners,
                           TimePoint now) const;

    Micros m_bound;
    std::map<std::string, WeightsHistory, std::less<>> m_models;
    OpenOrders m_open;            ///< By runner.
    std::vector<Loaded> m_loaded; ///< In the order in which they ended.
    std::map<RunnerModel, Retry> m_retries;
};

} // namespace crosslink
