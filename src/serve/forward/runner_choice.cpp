// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "runner_choice.h"

#include <adapters/clock.h>
#include <adapters/random.h>

#include <crosslink/forward/runner_price.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// A call that has not begun on replaced weights this long before these are
/// forbidden is withdrawn. A runner may take this long to notice that its
/// caller has disconnected, and the first event to arrive.
constexpr Micros withdraw_margin = std::chrono::milliseconds(300);
/// Instances that are asked for a place of their share for one call, one after
/// the other, while it waits.
constexpr int max_loans_asked = 32;
/// Version of the weights of a model before one was named.
constexpr std::uint64_t first_weights = 1;

/// Returns the id of the last shared part of the prompt; empty if there is
/// none.
std::string
last_shared_part(const ForwardedCall& call)
{
    if (!call.generation || call.generation->shared_parts().empty())
        return {};
    return call.generation->shared_parts().back().id;
}

} // namespace

RunnerChoice::RunnerChoice(ForwardState& state, CallPrompt& prompt,
                           const ForwardedCall& call, const ServiceRoute& route,
                           const AccountSettings* account)
    : m_state(state), m_prompt(prompt), m_call(call), m_account(account),
      m_service(route.pick_service(random_bits())),
      m_affinity(last_shared_part(call)),
      m_zones_allowed(state.settings.home_zones(
          route.allowed_regions,
          account ? account->allowed_regions : std::vector<std::string>()))
{
}

RunnerChoice::~RunnerChoice()
{
    release();
}

bool
RunnerChoice::choose()
{
    release();
    const RunnerQuery query = make_query();
    return adopt(m_state.runners.with([&query](RunnerTable& table) {
        auto chosen = table.choose(query);
        if (chosen)
            table.reserve(chosen->incarnation());
        return chosen;
    }));
}

bool
RunnerChoice::borrow()
{
    release();
    if (m_loans_asked >= max_loans_asked)
        return false;
    const RunnerQuery query = make_query();
    auto pick = m_state.loans.with([&](const ShareLoans& loans) {
        return m_state.runners.with([&](const RunnerTable& table) {
            return table.choose_borrowed(query, loans);
        });
    });
    if (!pick)
        return false;
    ++m_loans_asked;
    m_pick = std::move(*pick);
    return true;
}

std::optional<RunnerPick>
RunnerChoice::choose_second()
{
    RunnerQuery query = make_query();
    std::set<std::string> excluded = m_excluded;
    excluded.insert(m_pick.id);
    query.avoid = &excluded;
    query.software = &m_pick.software;
    query.least_version = std::max(query.least_version, m_pick.version);
    return m_state.runners.with(
        [&query](const RunnerTable& table) { return table.choose(query); });
}

void
RunnerChoice::require(const std::string& service, const std::string& software)
{
    m_service = service;
    m_software = software;
}

/// Calls that wait for a runner with a rate limit are sent one after the other.
/// Without a reservation each, all of them would wait for the runner's next
/// slot, and all but one in vain.
NextAvailability
RunnerChoice::reserve_next(TimePoint useful)
{
    release();
    const RunnerQuery query = make_query();
    NextAvailability chance = m_state.runners.with([&](RunnerTable& table) {
        NextAvailability next = table.next_available(query);
        if (next.at && *next.at < useful)
            table.reserve(next.incarnation());
        return next;
    });
    if (chance.at && *chance.at < useful)
        m_reservation = chance;
    return chance;
}

NextAvailability
RunnerChoice::next_available()
{
    const RunnerQuery query = make_query();
    return m_state.runners.with(
        [&query](RunnerTable& table) { return table.next_available(query); });
}

std::optional<TimePoint>
RunnerChoice::next_loan()
{
    if (m_loans_asked >= max_loans_asked)
        return std::nullopt;
    const RunnerQuery query = make_query();
    return m_state.loans.with([&](const ShareLoans& loans) {
        return m_state.runners.with([&](const RunnerTable& table) {
            return table.next_loan(query, loans);
        });
    });
}

bool
RunnerChoice::choose_reserved()
{
    if (!m_reservation)
        return choose();
    const RunnerQuery query = make_query();
    auto pick = m_state.runners.with([&](RunnerTable& table) {
        auto chosen =
            table.choose_reserved(query, m_reservation->incarnation());
        if (chosen)
            table.reserve(chosen->incarnation());
        return chosen;
    });
    m_reservation.reset();
    return adopt(std::move(pick));
}

/// Makes `pick` the chosen runner, at which a slot is already reserved. Returns
/// false if it is empty.
bool
RunnerChoice::adopt(std::optional<RunnerPick> pick)
{
    if (!pick)
        return false;
    m_pick = std::move(*pick);
    m_reserved = true;
    return true;
}

void
RunnerChoice::sent(std::uint64_t tokens, std::uint64_t resident, TimePoint now)
{
    m_reserved = false;
    m_state.runners.with([&](RunnerTable& table) {
        if (m_pick.is_borrowed())
            table.sent_on_loan(m_pick.incarnation(), tokens, resident);
        else
            table.sent(m_pick.incarnation(), tokens, resident, now);
    });
}

void
RunnerChoice::count_send(TimePoint now)
{
    if (counts_shares() || m_pick.limited)
        m_state.fair_shares.with([&](FairShareTracker& fair_shares) {
            fair_shares.taken(m_service, account_name(), share_units(), now);
        });
}

void
RunnerChoice::ended(std::uint64_t resident)
{
    m_state.runners.with([&](RunnerTable& table) {
        if (m_pick.is_borrowed())
            table.ended_on_loan(m_pick.incarnation(), resident);
        else
            table.ended(m_pick.incarnation(), resident);
    });
}

void
RunnerChoice::reserve_again()
{
    if (m_pick.is_borrowed())
        return;
    m_reserved = true;
    m_state.runners.with(
        [this](RunnerTable& table) { table.reserve(m_pick.incarnation()); });
}

/// Releases the reservations of a call that was not sent.
void
RunnerChoice::release()
{
    if (!m_reserved && !m_reservation)
        return;
    m_state.runners.with([this](RunnerTable& table) {
        if (m_reserved)
            table.release(m_pick.incarnation());
        if (m_reservation)
            table.release(m_reservation->incarnation());
    });
    m_reserved = false;
    m_reservation.reset();
}

/// Returns the name of the call's account; empty on open routes.
std::string_view
RunnerChoice::account_name() const
{
    return m_account ? std::string_view(m_account->name) : std::string_view();
}

/// Returns the current inputs of the choice. The query refers to the call and
/// to the set of excluded runners.
RunnerQuery
RunnerChoice::make_query()
{
    const std::string_view model =
        m_call.generation ? std::string_view(m_call.generation->model)
                          : std::string_view();
    RunnerQuery query = m_state.runner_query(m_service);
    const WeightsChoice weights = m_state.weights_choice(model, query.now);
    m_newest = weights.newest;
    query.affinity = m_affinity;
    query.model = model;
    query.newest_version = m_newest;
    query.avoid = &m_excluded;
    query.software = m_software ? &*m_software : nullptr;
    query.avoids_exiting = m_avoids_exiting;
    if (m_call.generation)
        query.home_instances = m_state.settings.home_instances;
    if (m_zones_allowed)
        query.zones_allowed = &*m_zones_allowed;
    add_account(query);
    if (m_call.generation)
        add_prompt(query);
    query.least_version = weights.least;
    return query;
}

/// Returns whether the account's use of the service counts: that of engines and
/// of runners with limits, which may be short of capacity.
bool
RunnerChoice::counts_shares() const
{
    return m_call.generation || m_state.counters.runners_limited > 0;
}

/// Returns how much of a service the call takes up.
double
RunnerChoice::share_units() const
{
    constexpr double tokens_per_unit = 1000;
    return m_call.generation
               ? m_call.generation->prompt_tokens / tokens_per_unit
               : 1;
}

/// Adds whether the call's account has used more than its fair share of the
/// service, so that the calls of other accounts go first.
void
RunnerChoice::add_account(RunnerQuery& query)
{
    m_account_above_share = false;
    if (!counts_shares())
        return;
    query.account_above_share =
        m_state.fair_shares.with([&](FairShareTracker& fair_shares) {
            fair_shares.asked(m_service, account_name(), query.now);
            return fair_shares.is_ahead(m_service, account_name(), query.now);
        });
    m_account_above_share = query.account_above_share;
}

/// Adds where the prompt's parts are stored, and how many tokens will be read.
void
RunnerChoice::add_prompt(RunnerQuery& query)
{
    query.tokens = m_call.generation->prompt_tokens;
    query.resident = m_call.generation->resident_tokens();
    find_segments(query.now);
    query.segments = m_segments;
    const auto map = m_state.map();
    const auto engine = map->engines.find(m_service);
    if (engine == map->engines.end())
        return;
    query.memory_tokens = engine->second.memory_tokens;
    const std::uint64_t version = std::max(m_newest, first_weights);
    query.kept =
        m_prompt.fetch_estimate(space_of(version), *map, engine->second);
    query.tokens -= std::min(query.tokens, query.kept.fetched_tokens);
}

/// Finds the shared segments of the prompt, with their demand, and counts the
/// prompt once. A segment that is fetched saves as much as one that is
/// prefilled: the fetch takes the link of its store from calls whose prompts
/// are then prefilled.
void
RunnerChoice::find_segments(TimePoint now)
{
    if (m_segments_found)
        return;
    m_segments_found = true;
    const auto parts = m_call.generation->shared_parts();
    const std::uint64_t tokens = m_call.generation->prompt_tokens;
    const std::string space = space_of(0).text();
    for (const PromptPart& part : parts)
        m_segment_ids.push_back(space + "/" + part.id);
    m_state.segment_demand.with([&](SegmentDemand& demand) {
        demand.called(m_service, tokens, now);
        for (std::size_t i = 0; i < parts.size(); ++i)
            m_segments.push_back(
                {m_segment_ids[i], reading_time(parts[i].tokens),
                 demand.contained(m_service, m_segment_ids[i], tokens, now)});
    });
}

bool
RunnerChoice::ignore_segments()
{
    const bool had_any = !m_segments.empty();
    m_segments.clear();
    return had_any;
}

KeptSpace
RunnerChoice::space_of(std::uint64_t version) const
{
    KeptSpace space;
    space.model = m_call.generation->model;
    space.version = version;
    if (m_account && m_account->isolated)
        space.isolated_account = m_account->name;
    if (m_zones_allowed)
        space.zones = *m_zones_allowed;
    return space;
}

std::optional<Micros>
RunnerChoice::time_to_withdrawal() const
{
    const auto replaced = m_state.replaced_for(m_call.generation->model,
                                               m_pick.version, monotonic_now());
    if (!replaced)
        return std::nullopt;
    return m_state.settings.weights_bound() - withdraw_margin - *replaced;
}

bool
RunnerChoice::is_outdated() const
{
    const auto left = time_to_withdrawal();
    return left && left->count() <= 0;
}

} // namespace crosslink
