// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/fetch_delay_tracker.h>

#include <algorithm>
#include <cmath>
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
constexpr double bearable_part = 1.0 / 3;
/// Additional milliseconds by which a fetch may be late for each token of its
/// part: about twice the time in which a runner computes the token.
constexpr double worth_ms_per_token = 0.04;
/// A store from which events come later by this many milliseconds than from the
/// best one is saved to only where no other store has free capacity: saves
/// would delay its fetches even more.
constexpr double slow_ms = 250;
/// Minimum fraction of the calls that still fetch from a slow store, so that
/// its recovery is noticed.
constexpr double least_part = 0.1;
/// Lifetime of a sample. Older samples are ignored, and the delay decays
/// linearly to 0 until then. It is this long because an instance has few
/// samples of each store.
constexpr Micros sample_holds = std::chrono::seconds(3);
/// A fleet-wide delay up to this age takes precedence over newer own samples.
/// It is some exchanges old at most unless this instance is cut off; then newer
/// own samples take precedence.
constexpr Micros told_holds = std::chrono::milliseconds(1000);

/// A path that is slower than the best one of its zone by less than this many
/// milliseconds is not reported, since the difference has no effect. Reports on
/// 39 paths took a third of each exchange, and instances have 0.12 cores.
constexpr double told_ms = 50;

double
millis(Micros span)
{
    return seconds(span) * 1000;
}

/// Returns the delay `late_ms` of a sample of the given age, decayed over the
/// lifetime of samples.
double
faded(double late_ms, Micros age)
{
    return late_ms * (1 - seconds(age) / seconds(sample_holds));
}

} // namespace

void
FetchDelayTracker::sent(const FetchPath& path, TimePoint expected)
{
    m_paths[path].open.insert(expected);
}

void
FetchDelayTracker::ended(const FetchPath& path, TimePoint expected)
{
    const auto found = m_paths.find(path);
    if (found == m_paths.end())
        return;
    std::multiset<TimePoint>& open = found->second.open;
    if (const auto call = open.find(expected); call != open.end())
        open.erase(call);
}

void
FetchDelayTracker::first_event(const FetchPath& path, TimePoint expected,
                               TimePoint now)
{
    ended(path, expected);
    add_samples(m_paths[path], 1, millis(now - expected), now);
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
FetchDelayTracker::add_samples(Seen& seen, std::uint32_t calls, double late_ms,
                               TimePoint now)
{
    const double weight = 1 - std::pow(1 - sample_weight, calls);
    if (is_known(seen, now))
        seen.late_ms += weight * (late_ms - seen.late_ms);
    else
        seen.late_ms = late_ms;
    seen.known = true;
    seen.at = now;
    FetchSamples& untold = seen.untold;
    const double before = untold.late_ms * untold.calls;
    untold.calls += calls;
    untold.late_ms = (before + late_ms * calls) / untold.calls;
}

std::vector<FetchSamples>
FetchDelayTracker::take_unreported()
{
    std::vector<FetchSamples> result;
    for (auto& [path, seen] : m_paths) {
        if (seen.untold.calls == 0)
            continue;
        seen.untold.path = path;
        result.push_back(seen.untold);
        seen.untold = {};
    }
    return result;
}

std::vector<FetchDelay>
FetchDelayTracker::delays(TimePoint now) const
{
    std::vector<FetchDelay> all = known_lateness(now);
    std::map<std::string_view, double> least;
    for (const FetchDelay& item : all) {
        const auto place =
            least.try_emplace(item.path.zone, item.late_ms).first;
        place->second = std::min(place->second, item.late_ms);
    }
    std::vector<FetchDelay> worth_telling;
    for (const FetchDelay& item : all) {
        const double best = least[item.path.zone];
        if (item.late_ms <= best || item.late_ms > best + told_ms)
            worth_telling.push_back(item);
    }
    return worth_telling;
}

/// Returns the delays of all paths with samples that are still valid.
std::vector<FetchDelay>
FetchDelayTracker::known_lateness(TimePoint now) const
{
    std::vector<FetchDelay> result;
    for (const auto& [path, seen] : m_paths) {
        if (is_told(seen, now))
            result.push_back({path, seen.told_late_ms, now - *seen.told_at});
        else if (is_known(seen, now))
            result.push_back({path, seen.late_ms, now - seen.at});
    }
    return result;
}

void
FetchDelayTracker::set_fleet_delay(const FetchDelay& fleet, TimePoint now)
{
    Seen& seen = m_paths[fleet.path];
    seen.told_late_ms = fleet.late_ms;
    seen.told_at = now - fleet.age;
}

bool
FetchDelayTracker::is_known(const Seen& seen, TimePoint now)
{
    return is_told(seen, now) || (seen.known && now - seen.at <= sample_holds);
}

/// Returns whether the fleet-wide delay takes precedence over own samples.
bool
FetchDelayTracker::is_told(const Seen& seen, TimePoint now)
{
    if (!seen.told_at || now - *seen.told_at > sample_holds)
        return false;
    return now - *seen.told_at <= told_holds || seen.at < *seen.told_at;
}

/// Returns the current delay: that of past events or, where no event has come
/// since the earliest pending one was expected, the time since then if it is
/// longer.
double
FetchDelayTracker::late_ms(const Seen& seen, TimePoint now)
{
    double late = 0;
    if (is_told(seen, now))
        late = faded(seen.told_late_ms, now - *seen.told_at);
    else if (is_known(seen, now))
        late = faded(seen.late_ms, now - seen.at);
    if (!seen.open.empty() && *seen.open.begin() > seen.at)
        late = std::max(late, millis(now - *seen.open.begin()));
    return late;
}

double
FetchDelayTracker::later_ms(const FetchPath& path, TimePoint now) const
{
    const auto own = m_paths.find(path);
    if (own == m_paths.end())
        return 0;
    std::optional<double> least_late;
    for (const auto& [other, seen] : m_paths)
        if (other.zone == path.zone && other.store != path.store &&
            is_known(seen, now)) {
            const double late = late_ms(seen, now);
            least_late = std::min(least_late.value_or(late), late);
        }
    if (!least_late)
        return 0;
    return late_ms(own->second, now) - std::max(*least_late, 0.0);
}

bool
FetchDelayTracker::should_fetch(const FetchPath& path, std::uint32_t tokens,
                                Micros objective, std::uint64_t random,
                                TimePoint now) const
{
    const double later = later_ms(path, now);
    const double allowed =
        bearable_part * millis(objective) + worth_ms_per_token * tokens;
    if (later <= allowed)
        return true;
    // Falls to the minimum where the delay is twice what is allowed, so that
    // the queue of the store stays short.
    const double part = std::max(least_part, 2 - later / allowed);
    constexpr std::uint64_t steps = 1000;
    return static_cast<double>(random % steps) < part * steps;
}

std::set<std::string, std::less<>>
FetchDelayTracker::slow_stores(TimePoint now) const
{
    std::set<std::string, std::less<>> slow;
    for (const auto& [path, seen] : m_paths)
        if (later_ms(path, now) > slow_ms)
            slow.insert(path.store);
    return slow;
}

void
FetchDelayTracker::skip_slow_stores(std::span<const PromptPart> parts,
                                    std::span<KeptPlace> places,
                                    std::string_view zone, Micros objective,
                                    std::uint64_t random, TimePoint now) const
{
    std::uint32_t tokens = 0;
    for (const PromptPart& part : parts)
        tokens += part.tokens;
    bool slow = false;
    for (std::size_t i = 0; i < places.size(); ++i) {
        KeptPlace& place = places[i];
        const bool fetches = place.kind == KeptPlace::Kind::Fetch;
        slow =
            slow || (fetches && !should_fetch({place.store, std::string(zone)},
                                              tokens, objective, random, now));
        if (fetches && slow)
            place = KeptPlace::read(KeptPlace::Reason::SlowStore);
        tokens -= parts[i].tokens;
    }
}

} // namespace crosslink
