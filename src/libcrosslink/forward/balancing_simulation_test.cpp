// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// Compares how instances with late load reports choose runners. The rules other
// than that of RunnerTable exist here only; docs/DECISIONS.md has the table.

#include "../testing/played_load.h"

#include <crosslink/membership/rendezvous.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace crosslink
{

namespace
{

using testing::PlayedFleet;
using testing::PlayedKind;
using testing::PlayedLoad;
using testing::PlayedPolicy;

constexpr std::size_t urgent = 0;
constexpr std::size_t large = 1;

using Candidates = std::vector<const RunnerEntry*>;

/// Returns the runners of the own zone, or all where it has fewer than two.
Candidates
candidates(const RunnerTable& table, const RunnerQuery& query)
{
    Candidates own;
    Candidates all;
    for (const auto& [id, entry] : table.entries()) {
        all.push_back(&entry);
        if (entry.listed.zone == query.zone)
            own.push_back(&entry);
    }
    return own.size() < 2 ? all : own;
}

/// Returns the calls at a runner, as far as known.
double
calls_at(const RunnerEntry& entry)
{
    return entry.own.calls + entry.others.calls;
}

/// The one of two random runners with fewer calls.
std::string
two_choices(const RunnerTable& table, const RunnerQuery& query,
            const RunnerPick& /*pick*/)
{
    const Candidates found = candidates(table, query);
    std::mt19937_64 random(query.random);
    const RunnerEntry* one = found[random() % found.size()];
    const RunnerEntry* other = found[random() % found.size()];
    return calls_at(*other) < calls_at(*one) ? other->listed.id
                                             : one->listed.id;
}

/// The runner with the fewest tokens to prefill, and then the fewest calls.
std::string
least_work(const RunnerTable& table, const RunnerQuery& query,
           const RunnerPick& pick)
{
    Candidates found = candidates(table, query);
    std::mt19937_64 random(query.random);
    std::shuffle(found.begin(), found.end(), random);
    const double read = seconds(pick.load_age) * 1000 * pick.prefill_rate;
    const auto work = [read](const RunnerEntry* entry) {
        const double others =
            std::max(static_cast<double>(entry->others.tokens) - read, 0.0);
        return std::pair(static_cast<double>(entry->own.tokens) + others,
                         calls_at(*entry));
    };
    return (*std::min_element(found.begin(), found.end(),
                              [&](const auto* a, const auto* b) {
                                  return work(a) < work(b);
                              }))
        ->listed.id;
}

/// The first runner in the order for the prompt's shared segment that has at
/// most a quarter more calls than the mean; slow ones come later in the order.
std::string
bounded_rendezvous(const RunnerTable& table, const RunnerQuery& query,
                   const RunnerPick& /*pick*/)
{
    constexpr double bound = 1.25;
    Candidates found = candidates(table, query);
    double calls = 1;
    for (const RunnerEntry* entry : found)
        calls += calls_at(*entry);
    const double most = bound * calls / static_cast<double>(found.size());
    constexpr std::uint64_t segments = 2274;
    const std::string segment = std::to_string(query.random % segments);
    const auto rank = [&](const RunnerEntry* entry) {
        const double weight = 1 / std::max(entry->speed.ratio(query.now), 1.0);
        const auto bits = rendezvous_weight(segment, entry->listed.id);
        return std::pow((static_cast<double>(bits) + 1) / 0x1p64, 1 / weight);
    };
    std::sort(found.begin(), found.end(),
              [&](const auto* a, const auto* b) { return rank(a) > rank(b); });
    for (const RunnerEntry* entry : found)
        if (calls_at(*entry) + 1 <= std::max(most, 1.0))
            return entry->listed.id;
    return found.front()->listed.id;
}

/// Kinds of which all prompts are prefilled in full, at rates for one engine.
std::vector<PlayedKind>
kinds(std::size_t engines, bool is_fast)
{
    const auto count = static_cast<double>(engines);
    PlayedKind small;
    small.per_second = count * (is_fast ? 1.6 : 3.5);
    small.resident = small.to_read = 830;
    small.to_make = is_fast ? 42 : 49;
    small.objective = std::chrono::milliseconds(is_fast ? 400 : 800);
    small.deadline = std::chrono::seconds(4);
    PlayedKind big;
    big.per_second = count * (is_fast ? 3.2 : 1.5);
    big.priority = 1;
    big.resident = big.to_read = 9190;
    big.to_make = is_fast ? 7 : 9;
    big.objective = std::chrono::milliseconds(is_fast ? 600 : 2000);
    big.deadline = std::chrono::seconds(4);
    return {small, big};
}

enum class Trouble { None, ThirdSlower, SixthSlow, SixthStalled };

struct Figures {
    double urgent = 0;
    double large = 0;
    double slow_part = 0; ///< Of the calls, to the slow engines meanwhile.
    double peak = 0;      ///< To them, in any 0.2 s after they have recovered.
};

/// Plays twelve seconds, with trouble from second 2 to 8.5. Slow for good are
/// engines like those of the first workload, and for a time those of the
/// second.
Figures
play(std::size_t instances, std::size_t engines, Trouble trouble,
     const PlayedPolicy& policy, std::uint64_t seed = 1)
{
    constexpr double rate_of_played = 48; // Of a ModelEngine of speed 1.
    const bool is_fast = trouble != Trouble::ThirdSlower;
    PlayedFleet fleet;
    fleet.instances = instances;
    fleet.engines = engines;
    fleet.zones = 3;
    fleet.told_ms = 250; // Load is then 0.25 to 0.5 s old, or more if lost.
    fleet.home_instances = 3;
    fleet.lost_reports = 0.1;
    fleet.memory = 45'000;
    fleet.speed = (is_fast ? 69.8 : 36.7) / rate_of_played;
    if (trouble == Trouble::ThirdSlower)
        fleet.slow_speed = 1 / 1.3;
    if (trouble == Trouble::SixthSlow || trouble == Trouble::SixthStalled)
        fleet.slowness.each = std::min<std::size_t>(engines, 6);
    fleet.slowness.from = 2;
    fleet.slowness.until = 8.5;
    fleet.slowness.factor = trouble == Trouble::SixthSlow ? 1 / 3.5 : 0;
    fleet.policy = policy;
    fleet.seed = seed;
    PlayedLoad played(kinds(engines, is_fast), fleet);
    played.play(12, [](double) { return 1.2; });
    Figures figures;
    figures.urgent = played.tally(urgent, 2, 10).in_time_part();
    figures.large = played.tally(large, 2, 10).in_time_part();
    figures.slow_part = played.part_of_slow(3, 6);
    for (int step = 85; step < 110; ++step)
        figures.peak = std::max(
            figures.peak, played.part_of_slow(step / 10.0, step / 10.0 + 0.2));
    return figures;
}

/// As play(), as the mean of `seeds` plays: few engines get few calls.
Figures
mean(std::size_t instances, std::size_t engines, Trouble trouble,
     const PlayedPolicy& policy, std::uint64_t seeds)
{
    Figures sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Figures one = play(instances, engines, trouble, policy, seed);
        const auto part = 1 / static_cast<double>(seeds);
        sum.urgent += part * one.urgent;
        sum.large += part * one.large;
        sum.slow_part += part * one.slow_part;
        sum.peak += part * one.peak;
    }
    return sum;
}

} // namespace

// Prints a table: instances, engines, trouble, rule, parts of the urgent and of
// the large kind in time, part of the calls that slow engines got while they
// were slow, and their largest part in 0.2 s afterwards.
TEST_CASE("comparison of the rules that choose a runner", "[.comparison]")
{
    const std::vector<std::pair<const char*, PlayedPolicy>> rules{
        {"price", {}},
        {"two choices", two_choices},
        {"least work", least_work},
        {"bounded rendezvous", bounded_rendezvous}};
    const std::vector<std::pair<const char*, Trouble>> troubles{
        {"none", Trouble::None},
        {"a third 1.3 times slower", Trouble::ThirdSlower},
        {"a sixth 3.5 times slower", Trouble::SixthSlow},
        {"a sixth stalled", Trouble::SixthStalled}};
    for (const std::size_t instances : {26, 88, 295})
        for (const std::size_t engines : {3, 90, 140})
            for (const auto& [name, trouble] : troubles)
                for (const auto& [rule, policy] : rules) {
                    const Figures found = mean(instances, engines, trouble,
                                               policy, engines == 3 ? 12 : 1);
                    std::printf("%zu | %zu | %s | %s | %.3f | %.3f | %.3f | "
                                "%.3f\n",
                                instances, engines, name, rule, found.urgent,
                                found.large, found.slow_part, found.peak);
                    std::fflush(stdout);
                }
}

TEST_CASE("with engines that are slower for good, nearly all is in time")
{
    const Figures found = play(88, 90, Trouble::ThirdSlower, {});
    CHECK(found.urgent > 0.97);
    CHECK(found.large > 0.97);
}

TEST_CASE("engines that turn slow get less, and are not crowded afterwards")
{
    constexpr double fair = 1.0 / 6;
    const Figures found = play(26, 140, Trouble::SixthSlow, {});
    INFO(found.urgent << ' ' << found.large << ' ' << found.slow_part << ' '
                      << found.peak);
    CHECK(found.urgent > 0.93);
    CHECK(found.large > 0.9);
    CHECK(found.slow_part < 0.65 * fair);
    CHECK(found.peak < 1.7 * fair);
}

TEST_CASE("engines that stall get next to nothing, and are not crowded later")
{
    constexpr double fair = 1.0 / 6;
    const Figures found = play(88, 90, Trouble::SixthStalled, {});
    INFO(found.urgent << ' ' << found.large << ' ' << found.slow_part << ' '
                      << found.peak);
    CHECK(found.urgent > 0.93);
    CHECK(found.large > 0.9);
    CHECK(found.slow_part < 0.15 * fair);
    CHECK(found.peak < 1.7 * fair);
}

} // namespace crosslink
