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
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// What became of an order to a runner.
enum class OrderOutcome {
    Accepted,      ///< It is being carried out.
    AlreadyLoaded, ///< The runner has the weights already.
    Busy,          ///< Another order is under way, or the state was another.
    Refused,       ///< It will not be carried out.
    Unknown,       ///< No answer: it may be carried out, also later.
};

/// An order to load new weights.
struct WeightsOrder {
    std::string runner;
    std::uint64_t start_ms = 0; ///< Its incarnation.
    std::string address;
    std::string model;
    std::uint64_t version = 0;
};

/// Brings all runners to the newest weights that were named, a part of them
/// at a time, so that the others serve meanwhile. Kept by the instance that
/// has the duty; a new holder begins with an empty plan and learns from the
/// runners' own versions.
class WeightsPlan
{
public:
    /// All runners are to have weights `bound` after they were named.
    explicit WeightsPlan(Micros bound) : m_bound(bound) {}

    /// Takes over the versions of `model` that were named.
    void follow(std::string_view model, const WeightsHistory& history);

    /// Returns the orders that are due at `now`. They count as given.
    std::vector<WeightsOrder> due(const RunnerTable& runners, TimePoint now);
    /// Takes note that an order of due() was not given after all. It is due
    /// again a little later.
    void not_sent(const WeightsOrder& order, TimePoint now);
    /// Takes note of an order's outcome.
    void ordered(const WeightsOrder& order, OrderOutcome outcome,
                 TimePoint now);
    /// Returns the orders whose runners are to be asked for their state.
    std::vector<WeightsOrder> open() const;
    /// Returns the orders that were carried out a moment ago, for the instances
    /// that send calls there.
    std::vector<WeightsOrder> loaded(TimePoint now);
    /// Takes in the word of the runner of `order` on the weights that it has of
    /// that order's model.
    void reported(const WeightsOrder& order, std::uint64_t version, bool busy,
                  TimePoint now);
    /// Takes note that a runner gave no answer on its state. It may carry out
    /// its order all the same, but others need not wait for it.
    void report_failed(const WeightsOrder& order);
    /// Returns the part, 0 to 1, of the listed runners that have the newest
    /// weights of each model.
    double updated_fraction(const RunnerTable& runners) const;

private:
    struct Open {
        WeightsOrder order;
        TimePoint given; ///< Or accepted.
        TimePoint heard; ///< The runner's last word, or when it was given.
        bool accepted = false;
        bool unanswered = false; ///< The runner was asked in vain since then.

        void heard_at(TimePoint now)
        {
            heard = now;
            unanswered = false;
        }
        /// An order may wait for its turn before it reaches the runner.
        void accept(TimePoint now)
        {
            if (!accepted)
                given = now;
            accepted = true;
        }
    };

    using OpenOrders = std::map<std::string, Open, std::less<>>;

    struct Loaded {
        WeightsOrder order;
        TimePoint at{};
    };

    struct RunnerModel {
        std::string runner;
        std::string model;

        auto operator<=>(const RunnerModel&) const = default;
    };

    /// When a runner may be ordered again, after orders that came to nothing.
    struct Again {
        std::uint64_t version = 0; ///< That was ordered.
        TimePoint at{};
        std::uint32_t failures = 0; ///< In a row.
    };

    OpenOrders::iterator find_open(const WeightsOrder& order);
    Again& again_for(const WeightsOrder& order);
    bool waits(const RunnerModel& runner, std::uint64_t version,
               TimePoint now) const;
    void failed(const WeightsOrder& order, TimePoint now);
    void pause(const WeightsOrder& order, Micros time, TimePoint now);
    void drop_overdue(const RunnerTable& runners, TimePoint now);
    std::vector<const RunnerEntry*> behind(std::string_view model,
                                           const RunnerTable& runners,
                                           TimePoint now) const;
    std::size_t places_taken(std::string_view model, TimePoint now) const;
    std::size_t at_once(std::string_view model, const RunnerTable& runners,
                        TimePoint now) const;

    Micros m_bound;
    std::map<std::string, WeightsHistory, std::less<>> m_models;
    OpenOrders m_open;            ///< By runner.
    std::vector<Loaded> m_loaded; ///< In the order in which they ended.
    std::map<RunnerModel, Again> m_again;
};

} // namespace crosslink
