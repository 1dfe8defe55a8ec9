// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/digest.h>
#include <crosslink/base/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// A model that a client account may use, at one weight version.
struct ModelGrant {
    std::string model;
    std::string version; ///< Weight version new requests must run on.
    std::vector<std::string> adapters; ///< Adapters it may name; may be empty.
};

/// Limits of a client account, over all instances together.
struct AccountLimits {
    double requests_per_second = 10;      ///< 0.01 to 100,000.
    double tokens_per_second = 10'000;    ///< Prompt and output; 1 to 10^9.
    std::uint32_t concurrent = 32;        ///< Requests at once; 1 to 100,000.
    std::uint64_t kept_bytes = 1U << 30U; ///< KV kept in the stores.
};

/// A call of a plain service that may run at most once.
struct NotRepeatable {
    std::string method;      ///< For example "POST".
    std::string path_prefix; ///< For example "/bookings".
};

/// A plain service that a client account reaches through crosslink.
struct PlainServiceGrant {
    std::string service;     ///< Name in the platform's list.
    std::string path_prefix; ///< Paths routed to it; begins with '/'.
    std::vector<NotRepeatable> not_repeatable;
};

/// The split of a call class between the new fleet and the old servers.
struct TrafficSplit {
    std::string call_class;  ///< "completions" or a plain service's name.
    std::string old_service; ///< Plain service that represents the old servers.
    std::uint32_t new_share = 100; ///< Percentage of callers on the new fleet.
};

/// What to do with an idempotency key that carries no timestamp.
enum class UndatedKeyPolicy {
    Refuse,   ///< Answer `undated_key`, not run. Always safe; the default.
    Remember, ///< Accept it; at most once only within the claims' age limit.
};

/// Service-level objectives of a client account.
struct Objectives {
    Micros first_token = std::chrono::seconds(2);
    Micros between_tokens = std::chrono::milliseconds(43);
    double target_share = 0.95; ///< Share that must meet each latency; 0 to 1.
    double answered_share = 0.999; ///< Share that must get a complete answer.
};

/// What a template with its parameters grants. Accounts with the same template
/// and parameters share one object.
struct AccountPolicy {
    std::vector<ModelGrant> models;
    std::vector<PlainServiceGrant> plain_services;
    std::vector<TrafficSplit> splits;
    std::uint32_t priority = 5; ///< 0 (last) to 9 (first).
    double weight = 1; ///< Relative share under contention; 0.01 to 1,000.
    AccountLimits limits;
    Objectives objectives;
    UndatedKeyPolicy undated_keys = UndatedKeyPolicy::Refuse;

    /// Returns the grant for `model`, or null where it has none.
    const ModelGrant* grant_for(std::string_view model) const;
    /// Returns the plain service with the longest prefix that matches `path`,
    /// or null.
    const PlainServiceGrant* service_for(std::string_view path) const;
    /// Returns the split of `call_class`, or null where all callers go to the
    /// new fleet.
    const TrafficSplit* split_for(std::string_view call_class) const;
};

/// One client account as the instances use it.
struct ClientAccount {
    std::string name;
    std::vector<Digest> key_hashes;              ///< SHA-256 of each API key.
    std::shared_ptr<const AccountPolicy> policy; ///< Never null.
};

/// Returns whether `service` declares that this call may run at most once.
bool is_not_repeatable(const PlainServiceGrant& service,
                       std::string_view method, std::string_view path);

/// Returns whether `caller` is routed to the new fleet. The result for a caller
/// is stable, and raising the share only moves callers from the old servers to
/// the new fleet.
bool goes_to_new_fleet(const TrafficSplit& split, std::string_view caller);

} // namespace crosslink
