// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// The part of RunnerTable that lends and borrows places of shares.

#include <crosslink/forward/runner_table.h>

#include <crosslink/forward/runner_price.h>
#include <crosslink/forward/share_loans.h>

#include <algorithm>
#include <random>
#include <string>

namespace crosslink
{

/// Returns the other instances that have a share of a runner, and from when on
/// each may have a place there for a call of this one.
std::vector<RunnerTable::LoanOffer>
RunnerTable::loan_offers(const RunnerEntry& entry, const RunnerQuery& query,
                         const ShareLoans& loans) const
{
    const auto count = share_count(entry, query);
    if (!count || !may_accept_work(entry, query))
        return {};
    const TimePoint paused =
        std::max(entry.paused_until, entry.notices.backoff_until);
    std::vector<LoanOffer> offers;
    for (const std::string& holder : m_members.holders(
             entry.listed.id, entry.listed.zone, *count, query.now)) {
        if (holder == query.instance)
            continue;
        const TimePoint asked = loans.ask_at(holder, entry.listed.id);
        offers.push_back({holder, std::max(paused, asked)});
    }
    return offers;
}

std::optional<RunnerPick>
RunnerTable::choose_borrowed(const RunnerQuery& query,
                             const ShareLoans& loans) const
{
    const RunnerIndex::Groups* groups = m_index.groups(query.service);
    if (!groups)
        return std::nullopt;
    std::mt19937_64 generator(query.random);
    std::optional<RunnerPick> best;
    for (const auto& [zone, group] : *groups) {
        if (best && zone != query.zone)
            continue;
        if (auto pick = draw_borrowed(group, query, loans, generator))
            best = std::move(pick);
    }
    return best;
}

/// Returns a random runner of `group` with an instance that may lend a place
/// there. The first runners drawn are enough: an instance that finds no lender
/// among them would rarely find one among the rest.
std::optional<RunnerPick>
RunnerTable::draw_borrowed(const RunnerIndex::Group& group,
                           const RunnerQuery& query, const ShareLoans& loans,
                           std::mt19937_64& generator) const
{
    // A group stays when its last runner is gone.
    if (group.ids.empty())
        return std::nullopt;
    const std::size_t count = std::min(group.ids.size(), max_lending_runners);
    const std::size_t first = generator() % group.ids.size();
    for (std::size_t i = 0; i < count; ++i) {
        const RunnerEntry* entry =
            visit(group.ids[(first + i) % group.ids.size()]);
        if (!entry)
            continue;
        auto offers = loan_offers(*entry, query, loans);
        std::erase_if(offers, [&query](const LoanOffer& offer) {
            return offer.from > query.now;
        });
        if (offers.empty())
            continue;
        RunnerPick pick = pick_of(*entry, query, fleet_load(query));
        pick.share_holder = offers[generator() % offers.size()].holder;
        return pick;
    }
    return std::nullopt;
}

std::optional<TimePoint>
RunnerTable::next_loan(const RunnerQuery& query, const ShareLoans& loans) const
{
    const RunnerIndex::Groups* groups = m_index.groups(query.service);
    if (!groups)
        return std::nullopt;
    std::optional<TimePoint> next;
    for (const auto& [zone, group] : *groups) {
        const std::size_t count =
            std::min(group.ids.size(), max_lending_runners);
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t drawn = (query.random + i) % group.ids.size();
            const RunnerEntry* entry = visit(group.ids[drawn]);
            if (!entry)
                continue;
            for (const LoanOffer& offer : loan_offers(*entry, query, loans))
                next = next ? std::min(*next, offer.from) : offer.from;
        }
    }
    return next;
}

void
RunnerTable::sent_on_loan(const RunnerIncarnation& runner, std::uint64_t tokens,
                          std::uint64_t resident)
{
    if (RunnerEntry* entry = find(runner)) {
        ++entry->borrowed;
        add_own(*entry, tokens, resident);
    }
}

void
RunnerTable::ended_on_loan(const RunnerIncarnation& runner,
                           std::uint64_t resident)
{
    RunnerEntry* entry = find(runner);
    if (entry && entry->borrowed > 0)
        --entry->borrowed;
    ended(runner, resident);
}

std::optional<TimePoint>
RunnerTable::lend(const RunnerIncarnation& runner, const RunnerQuery& query)
{
    RunnerEntry* entry = find(runner);
    if (!entry || !may_accept_work(*entry, query))
        return TimePoint::max();
    const TimePoint free = free_at(*entry, query);
    if (free > query.now)
        return free;
    record_send(*entry, query.now);
    ++entry->lent;
    return std::nullopt;
}

void
RunnerTable::loan_ended(const RunnerIncarnation& runner)
{
    RunnerEntry* entry = find(runner);
    if (entry && entry->lent > 0)
        --entry->lent;
}

} // namespace crosslink
