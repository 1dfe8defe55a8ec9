// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// What may be repeated of a call.
enum class CallKind {
    Safe,   ///< It may run more than once.
    Once,   ///< It runs at most once.
    Stream, ///< A series of events; as Once unless the route is resumable.
};

/// A service that a route sends a share of its calls to.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;
};

/// Where calls of one host and path prefix go.
struct ServiceRoute {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    CallKind kind = CallKind::Once;
    Micros timeout{0};   ///< Longest time that a call is held.
    Micros objective{0}; ///< To the answer, or to its first event.
    std::uint32_t priority = 5;
    std::vector<WeightedService> services; ///< At least one.
    /// Greatest number of runners that one call may run on; at least 1.
    std::uint32_t most_attempts = 1;
    bool open = false;      ///< Needs no key.
    bool resumable = false; ///< A broken stream may go on elsewhere.
    /// Regions whose runners may have its calls; empty for all.
    std::vector<std::string> allowed_regions{};

    /// True where a call may run more than once.
    bool repeatable() const
    {
        return kind == CallKind::Safe ||
               (kind == CallKind::Stream && resumable);
    }
    /// Returns the service for `random` bits, by weight.
    const std::string& pick_service(std::uint64_t random) const;
};

/// A store of kept KV, as the operator set it up.
struct KeptStoreInfo {
    std::string name;
    std::string address; ///< "ip:port".
    std::string zone;
    std::uint64_t capacity_tokens = 0;
    double link_bytes_per_second = 0;
    bool managed = false; ///< It drops nothing by itself.
};

/// What the operator tells of the engines of a service.
struct EngineInfo {
    std::uint32_t token_bytes = 0; ///< Of KV for each token.
    /// KV memory of one runner, in tokens; 0 where it is not told.
    std::uint64_t memory_tokens = 0;
};

/// How runners of a service start: for a while they bear little.
struct WarmUp {
    Micros time{0};        ///< From a start; 0 where they are warm at once.
    double per_second = 0; ///< Calls that one bears meanwhile.
};

/// What callers may send, and how long they may take.
struct CallerLimits {
    std::uint64_t header_bytes = 16'384;
    std::uint64_t body_bytes = 4'194'304;
    Micros header_time = std::chrono::seconds(3);
    Micros idle_time = std::chrono::seconds(15);
};

/// A client account with what its keys open.
struct AccountSettings {
    std::string name;
    bool has_priority = false; ///< Its priority goes before the route's.
    std::uint32_t priority = 5;
    bool isolated = false; ///< Shares no kept KV with any other account.
    /// Regions whose runners may have its calls; empty for all.
    std::vector<std::string> allowed_regions{};
};

/// One version of the operator's routes, services and keys. Immutable once
/// built; swapped as a whole.
class ServiceMap
{
public:
    std::uint64_t version = 0;
    CallerLimits limits;
    std::vector<KeptStoreInfo> stores;
    std::vector<AccountSettings> accounts;
    bool needs_key = false; ///< Calls carry a key, open routes excepted.
    /// Services whose runners are model engines.
    std::map<std::string, EngineInfo, std::less<>> engines;
    std::map<std::string, WarmUp, std::less<>> warm_ups; ///< By service.

    /// Adds a route; only before the map is shared.
    void add_route(ServiceRoute route);
    /// Lets `key` open the account at `index` of accounts.
    void add_key(std::string key, std::size_t index);

    /// Returns the route of `host` with the longest prefix of `path`, or
    /// null where there is none.
    const ServiceRoute* find_route(std::string_view host,
                                   std::string_view path) const;
    /// Returns the account that `key` opens, or null.
    const AccountSettings* find_account(std::string_view key) const;
    /// Returns the store at `address`, or null.
    const KeptStoreInfo* find_store(std::string_view address) const;
    std::size_t route_count() const { return m_routes; }

private:
    using ByPrefix = std::map<std::string, ServiceRoute, std::less<>>;

    std::map<std::string, ByPrefix, std::less<>> m_hosts;
    std::map<std::string, std::size_t, std::less<>> m_keys;
    std::size_t m_routes = 0;
};

} // namespace crosslink
