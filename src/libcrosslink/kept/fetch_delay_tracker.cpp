// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/fetch_delay_tracker.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>
#include <optional>

namespace crosslink
{

namespace
{

/// Weight of a new sample in the moving average.
constexpr double sample_weight = 0.25;
/// Fraction of the call's objective by which a fetch may be late, whatever the
/// size of its part. The response still comes in time, while a prompt that is
/// computed instead delays all others at its runner. With 80 ms for all calls,
/// calls with objectives of 1.2 s recomputed 4 M stored tokens a day; with a
/// third of the objective, a quarter less (docs/DECISIONS.md, "slow stores").
constexpr double tolerable_fraction = 1.0 / 3;
/// Additional milliseconds by which a fetch may be late for each token of its
/// part: about twice the time in which a runner computes the token.
constexpr double tolerable_ms_per_token = 0.04;
/// A store from which events come later by this many milliseconds than from the
/// best one is saved to only where no other store has free capacity: saves
/// would delay its fetches even more.
constexpr double slow_ms = 250;
/// Minimum fraction of the calls that still fetch from a slow store, so that
/// its recovery is noticed.
constexpr double min_fetch_fraction = 0.1;
/// A fetch may take this many times as long as the prefill that it saves, and
/// longer while the call is answered in time: a prefill also delays the answers
/// of all other calls at its runner.
constexpr double prefill_factor = 2;
/// Fraction of the calls that fetch from a store that is slow by itself while
/// no call has shown how long a prefill takes; the others show it.
constexpr double unproven_fetch_fraction = 0.9;
/// Lifetime of a sample. Older samples are ignored, and the delay decays
/// linearly to 0 until then. It is this long because an instance has few
/// samples of each store.
constexpr Micros sample_lifetime = std::chrono::seconds(3);
/// A fleet-wide delay up to this age takes precedence over newer own samples.
/// It is some exchanges old at most unless this instance is cut off; then newer
/// own samples take precedence.
constexpr Micros fleet_delay_lifetime = std::chrono::milliseconds(1000);

/// A path that is slower than the best one of its zone by less than this many
/// milliseconds is not reported, since the difference has no effect. Reports on
/// 39 paths took a third of each exchange, and instances have 0.12 cores.
constexpr double report_threshold_ms = 50;

/// Number of stores from which on the lowest delay is that of chance.
constexpr std::size_t min_stores_for_quartile = 8;
/// Number of stores from which on fetches are compared to prefills. A slow one
/// of fewer stores stands out from the others, and each prefill more takes a
/// large part of what their runners can prefill.
constexpr std::size_t min_stores_for_prefill = 8;

/// Returns the delay `late_ms` of a sample of the given age, decayed over the
/// lifetime of samples.
double
decayed(double late_ms, Micros age)
{
    return late_ms * (1 - seconds(age) / seconds(sample_lifetime));
}

/// Returns the fraction of the calls that fetch where events come `excess_ms`
/// later than without a fetch. It falls to the minimum where the delay is twice
/// what is allowed, so that the queue of the store stays short.
double
fetch_fraction(double excess_ms, double allowed_ms)
{
    if (excess_ms <= allowed_ms)
        return 1;
    return std::max(min_fetch_fraction, 2 - excess_ms / allowed_ms);
}

/// Returns the delay that `delays`, at least one, show for the good stores: the
/// lowest of a few, and the lower quartile of many. Under load, the delays of
/// many equally fast stores differ by chance so much that most would seem slow
/// compared to the lowest.
double
good_delay(std::vector<double>& delays)
{
    const std::size_t rank =
        delays.size() < min_stores_for_quartile ? 0 : delays.size() / 4;
    const auto good = delays.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(delays.begin(), good, delays.end());
    return *good;
}

} // namespace

void
FetchDelayTracker::sent(const FetchPath& path, TimePoint expected)
{
    m_paths[path].pending.insert(expected);
}

void
FetchDelayTracker::ended(const FetchPath& path, TimePoint expected)
{
    const auto found = m_paths.find(path);
    if (found == m_paths.end())
        return;
    std::multiset<TimePoint>& pending = found->second.pending;
    if (const auto call = pending.find(expected); call != pending.end())
        pending.erase(call);
}

void
FetchDelayTracker::first_event(const FetchPath& path, TimePoint expected,
                               TimePoint now)
{
    ended(path, expected);
    add_samples(m_paths[path], 1, in_milliseconds(now - expected), now);
}

void
FetchDelayTracker::add_remote_samples(const FetchSamples& samples,
                                      TimePoint now)
{
    if (samples.calls > 0)
        add_samples(m_paths[samples.path], samples.calls, samples.late_ms, now);
}

/// Adds `calls` samples with a mean delay of `late_ms`.
void
FetchDelayTracker::add_samples(PathStats& stats, std::uint32_t calls,
                               double late_ms, TimePoint now)
{
    const double weight = 1 - std::pow(1 - sample_weight, calls);
    if (is_known(stats, now))
        stats.late_ms += weight * (late_ms - stats.late_ms);
    else
        stats.late_ms = late_ms;
    stats.known = true;
    stats.at = now;
    FetchSamples& unreported = stats.unreported;
    const double before = unreported.late_ms * unreported.calls;
    unreported.calls += calls;
    unreported.late_ms = (before + late_ms * calls) / unreported.calls;
}

std::vector<FetchSamples>
FetchDelayTracker::take_unreported()
{
    std::vector<FetchSamples> result;
    for (auto& [path, stats] : m_paths) {
        if (stats.unreported.calls == 0)
            continue;
        stats.unreported.path = path;
        result.push_back(stats.unreported);
        stats.unreported = {};
    }
    return result;
}

std::vector<FetchDelay>
FetchDelayTracker::delays(TimePoint now) const
{
    std::vector<FetchDelay> all = known_delays(now);
    std::map<std::string_view, std::vector<double>> by_zone;
    for (const FetchDelay& item : all)
        if (item.path.has_store())
            by_zone[item.path.zone].push_back(item.late_ms);
    std::map<std::string_view, double> good;
    for (auto& [zone, delays] : by_zone)
        good[zone] = good_delay(delays);
    std::vector<FetchDelay> reported;
    std::set<std::string_view> zones_reported;
    for (const FetchDelay& item : all) {
        if (!item.path.has_store()) {
            reported.push_back(item);
            continue;
        }
        const double reference = good[item.path.zone];
        const bool is_slow = item.late_ms > reference + report_threshold_ms;
        const bool is_reference = item.late_ms == reference &&
                                  zones_reported.insert(item.path.zone).second;
        if (is_slow || is_reference)
            reported.push_back(item);
    }
    return reported;
}

/// Returns the delays of all paths with samples that are still valid.
std::vector<FetchDelay>
FetchDelayTracker::known_delays(TimePoint now) const
{
    std::vector<FetchDelay> result;
    for (const auto& [path, stats] : m_paths) {
        if (uses_fleet_delay(stats, now))
            result.push_back(
                {path, stats.fleet_late_ms, now - *stats.fleet_at});
        else if (is_known(stats, now))
            result.push_back({path, stats.late_ms, now - stats.at});
    }
    return result;
}

void
FetchDelayTracker::set_fleet_delay(const FetchDelay& fleet, TimePoint now)
{
    PathStats& stats = m_paths[fleet.path];
    stats.fleet_late_ms = fleet.late_ms;
    stats.fleet_at = now - fleet.age;
}

bool
FetchDelayTracker::is_known(const PathStats& stats, TimePoint now)
{
    return uses_fleet_delay(stats, now) ||
           (stats.known && now - stats.at <= sample_lifetime);
}

/// Returns whether the fleet-wide delay takes precedence over own samples.
bool
FetchDelayTracker::uses_fleet_delay(const PathStats& stats, TimePoint now)
{
    if (!stats.fleet_at || now - *stats.fleet_at > sample_lifetime)
        return false;
    return now - *stats.fleet_at <= fleet_delay_lifetime ||
           stats.at < *stats.fleet_at;
}

/// Returns the current delay: that of past events or, where no event has come
/// since the earliest pending one was expected, the time since then if it is
/// longer.
double
FetchDelayTracker::late_ms(const PathStats& stats, TimePoint now)
{
    double late = 0;
    if (uses_fleet_delay(stats, now))
        late = decayed(stats.fleet_late_ms, now - *stats.fleet_at);
    else if (is_known(stats, now))
        late = decayed(stats.late_ms, now - stats.at);
    return std::max(late, pending_ms(stats, now));
}

/// Returns how late the earliest pending event is, if none has come since it
/// was expected; negative infinity for none.
double
FetchDelayTracker::pending_ms(const PathStats& stats, TimePoint now)
{
    if (stats.pending.empty() || *stats.pending.begin() <= stats.at)
        return -std::numeric_limits<double>::infinity();
    return in_milliseconds(now - *stats.pending.begin());
}

/// Returns the delay of the good stores other than that of `path`. Delays over
/// the whole fleet go first, where there are any.
FetchDelayTracker::Reference
FetchDelayTracker::reference(const FetchPath& path, TimePoint now) const
{
    std::vector<double> of_fleet;
    std::vector<double> own;
    for (const auto& [other, stats] : m_paths) {
        if (other.zone != path.zone || other.store == path.store ||
            !other.has_store())
            continue;
        if (uses_fleet_delay(stats, now))
            of_fleet.push_back(late_ms(stats, now));
        else if (is_known(stats, now))
            own.push_back(late_ms(stats, now));
    }
    Reference result;
    result.is_of_fleet = !of_fleet.empty();
    if (result.is_of_fleet)
        result.late_ms = *std::min_element(of_fleet.begin(), of_fleet.end());
    else if (!own.empty())
        result.late_ms = good_delay(own);
    return result;
}

double
FetchDelayTracker::excess_ms(const FetchPath& path, TimePoint now) const
{
    const auto own = m_paths.find(path);
    if (own == m_paths.end())
        return 0;
    const Reference good = reference(path, now);
    if (!good.late_ms)
        return 0;
    const PathStats& stats = own->second;
    // Paths that are nearly as good as the best ones are not reported. The few
    // samples of one instance say less.
    const bool is_unreported =
        good.is_of_fleet && !uses_fleet_delay(stats, now);
    const double late =
        is_unreported ? pending_ms(stats, now) : late_ms(stats, now);
    return late - std::max(*good.late_ms, 0.0);
}

/// Returns how late events come by `path`; nothing if that is not known. Where
/// the whole fleet's delays are known, paths to stores that are not reported
/// are about as good as the reference.
std::optional<double>
FetchDelayTracker::delay_ms(const FetchPath& path, TimePoint now) const
{
    const auto found = m_paths.find(path);
    const bool has_own = found != m_paths.end() && is_known(found->second, now);
    if (has_own && uses_fleet_delay(found->second, now))
        return late_ms(found->second, now);
    if (path.has_store()) {
        const Reference good = reference(path, now);
        if (good.is_of_fleet)
            return good.late_ms;
    }
    return has_own ? std::optional(late_ms(found->second, now)) : std::nullopt;
}

/// Returns how many stores calls of `zone` fetched from.
std::size_t
FetchDelayTracker::store_count(std::string_view zone) const
{
    return static_cast<std::size_t>(
        std::count_if(m_paths.begin(), m_paths.end(), [zone](const auto& item) {
            return item.first.zone == zone && item.first.has_store();
        }));
}

/// Returns the fraction of the calls that should fetch by `path`, compared to
/// fetches from other stores.
double
FetchDelayTracker::fraction_by_stores(const FetchPath& path,
                                      const FetchGain& gain,
                                      TimePoint now) const
{
    const double allowed =
        tolerable_fraction * in_milliseconds(gain.objective) +
        tolerable_ms_per_token * gain.tokens;
    return fetch_fraction(excess_ms(path, now), allowed);
}

/// Returns the fraction of the calls that should fetch by `path`, compared to
/// calls that prefill.
double
FetchDelayTracker::fraction_by_prefill(const FetchPath& path,
                                       const FetchGain& gain,
                                       TimePoint now) const
{
    if (gain.prefill.count() == 0 ||
        store_count(path.zone) < min_stores_for_prefill)
        return 1;
    const auto fetch = delay_ms(path, now);
    if (!fetch)
        return 1;
    const double allowed =
        std::max(prefill_factor * in_milliseconds(gain.prefill),
                 tolerable_fraction * in_milliseconds(gain.objective));
    const auto prefill = delay_ms(FetchPath::without_store(path.zone), now);
    if (prefill)
        return fetch_fraction(*fetch - *prefill, allowed);
    return *fetch > allowed ? unproven_fetch_fraction : 1;
}

bool
FetchDelayTracker::should_fetch(const FetchPath& path, const FetchGain& gain,
                                std::uint64_t random, TimePoint now) const
{
    const double fraction = std::min(fraction_by_stores(path, gain, now),
                                     fraction_by_prefill(path, gain, now));
    constexpr std::uint64_t steps = 1000;
    return static_cast<double>(random % steps) < fraction * steps;
}

std::set<std::string, std::less<>>
FetchDelayTracker::slow_stores(TimePoint now) const
{
    std::set<std::string, std::less<>> slow;
    for (const auto& [path, stats] : m_paths)
        if (path.has_store() && excess_ms(path, now) > slow_ms)
            slow.insert(path.store);
    return slow;
}

void
FetchDelayTracker::skip_slow_stores(std::span<const PromptPart> parts,
                                    std::span<KeptPlace> places,
                                    std::string_view zone, FetchGain gain,
                                    std::uint64_t random, TimePoint now) const
{
    const std::uint32_t all_tokens = std::max(gain.tokens, 1U);
    const Micros prefill_of_all = gain.prefill;
    bool slow = false;
    for (std::size_t i = 0; i < places.size(); ++i) {
        KeptPlace& place = places[i];
        const bool fetches = place.kind == KeptPlace::Kind::Fetch;
        gain.prefill = std::chrono::duration_cast<Micros>(
            prefill_of_all * (static_cast<double>(gain.tokens) / all_tokens));
        slow =
            slow || (fetches && !should_fetch({place.store, std::string(zone)},
                                              gain, random, now));
        if (fetches && slow)
            place = KeptPlace::compute(KeptPlace::Reason::SlowStore);
        gain.tokens -= std::min(gain.tokens, parts[i].tokens);
    }
}

} // namespace crosslink
