// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/admit/token_bucket.h>
#include <crosslink/base/time.h>
#include <crosslink/configuration/client_account.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The limits of one entry instance.
struct AdmissionRules {
    std::uint32_t most_running = 128; ///< Maximum of concurrent requests.
    std::uint32_t most_waiting = 256; ///< Maximum of queued requests.
    /// Maximum time that a request is queued.
    Micros longest_wait = std::chrono::seconds(10);
};

/// The result of a request for admission.
struct AdmissionTicket {
    std::uint64_t number = 0;
    bool admitted = false; ///< False: the request is queued.
};

/// Number of requests of an account that are running or waiting.
struct AccountUse {
    std::string account;
    std::uint32_t open = 0;
};

/// Admits requests: limits per client account, a maximum number of concurrent
/// requests, and weighted fair queueing (virtual finish times) for those that
/// wait, so that an account that sends a flood of requests waits behind its own
/// requests.
class Admission
{
public:
    explicit Admission(AdmissionRules rules);

    /// Requests admission of a request that costs `tokens`. `share` is the
    /// fraction of the account's limits that this instance may grant, greater
    /// than 0 and at most 1. Throws Error with RateLimited, ConcurrencyLimited
    /// or QueueFull.
    AdmissionTicket ask(const ClientAccount& account, std::uint64_t tokens,
                        double share, TimePoint now);
    /// Removes a waiting request. Returns false where the ticket was admitted
    /// already.
    bool withdraw(std::uint64_t ticket);
    /// Ends an admitted request. Returns the tickets that are admitted in its
    /// place.
    std::vector<std::uint64_t> release(std::uint64_t ticket);

    /// Returns the accounts that have running or waiting requests.
    std::vector<AccountUse> in_use() const;
    std::size_t running() const { return m_running.size(); }
    std::size_t waiting() const { return m_waiting; }

private:
    struct Waiting {
        std::uint64_t ticket;
        double finish; ///< Virtual finish time.
    };
    struct AccountState {
        TokenBucket requests;
        TokenBucket tokens;
        std::uint32_t open = 0; ///< Running and waiting.
        double last_finish = 0;
        std::deque<Waiting> queue;
    };

    void check_limits(AccountState& state, const ClientAccount& account,
                      std::uint64_t tokens, double share, TimePoint now) const;
    std::optional<std::uint64_t> admit_next();

    const AdmissionRules m_rules;
    std::map<std::string, AccountState, std::less<>> m_accounts;
    std::map<std::uint64_t, std::string> m_running; ///< Ticket to account.
    std::size_t m_waiting = 0;
    std::uint64_t m_next_ticket = 1;
    double m_virtual_time = 0;
};

} // namespace crosslink
