// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// Whether a call may be repeated.
enum class CallKind {
    Safe,   ///< It may run more than once.
    Once,   ///< It runs at most once.
    Stream, ///< A series of events; as Once unless the route is resumable.
};

/// A service that receives a share of a route's calls.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;
};

/// Routing of the calls of one host and path prefix.
struct ServiceRoute {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    CallKind kind = CallKind::Once;
    Micros timeout{0};   ///< Longest time that a call is held.
    Micros objective{0}; ///< Time to the answer or its first event.
    std::uint32_t priority = 5;
    std::vector<WeightedService> services; ///< At least one.
    /// Maximum number of runners that one call may run on; at least 1.
    std::uint32_t most_attempts = 1;
    bool open = false;      ///< Needs no key.
    bool resumable = false; ///< A broken stream may continue on another runner.
    /// Regions whose runners may serve its calls; empty for all.
    std::vector<std::string> allowed_regions{};

    /// Returns whether a call may run more than once.
    bool repeatable() const
    {
        return kind == CallKind::Safe ||
               (kind == CallKind::Stream && resumable);
    }
    /// Returns a service chosen by weight with `random` bits.
    const std::string& pick_service(std::uint64_t random) const;
    /// Returns the services that pick_service() may return.
    std::set<std::string, std::less<>> picked_services() const;
};

/// A store of kept KV, as the operator configured it.
struct KeptStoreInfo {
    std::string name;
    std::string address; ///< "ip:port".
    std::string zone;
    std::uint64_t capacity_tokens = 0;
    double link_bytes_per_second = 0;
    bool managed = false; ///< It evicts nothing by itself.
};

/// What the operator configured for the engines of a service.
struct EngineInfo {
    std::uint32_t token_bytes = 0; ///< Size of the KV of one token.
    /// KV memory of one runner, in tokens; 0 if not configured.
    std::uint64_t memory_tokens = 0;
};

/// Warm-up of the runners of a service, during which they accept few calls.
struct WarmUp {
    Micros time{0};        ///< After a start; 0 if there is no warm-up.
    double per_second = 0; ///< Calls that one runner accepts meanwhile.
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits {
    std::uint64_t header_bytes = 16'384;
    std::uint64_t body_bytes = 4'194'304;
    Micros header_time = std::chrono::seconds(3);
    Micros idle_time = std::chrono::seconds(15);
};

/// A client account, with the settings that apply to its calls.
struct AccountSettings {
    std::string name;
    bool has_priority = false; ///< Its priority overrides the route's.
    std::uint32_t priority = 5;
    bool isolated = false; ///< Shares no kept KV with any other account.
    /// Regions whose runners may serve its calls; empty for all.
    std::vector<std::string> allowed_regions{};
};

/// One version of the operator's routes, services and keys. Immutable once
/// built, and replaced as a whole.
class ServiceMap
{
public:
    std::uint64_t version = 0;
    CallerLimits limits;
    std::vector<KeptStoreInfo> stores;
    std::vector<AccountSettings> accounts;
    bool needs_key = false; ///< Calls must carry a key, except on open routes.
    /// Services whose runners are model engines.
    std::map<std::string, EngineInfo, std::less<>> engines;
    std::map<std::string, WarmUp, std::less<>> warm_ups; ///< By service.

    /// Adds a route. Must not be called once the map is shared.
    void add_route(ServiceRoute route);
    /// Assigns `key` to the account at `index` of accounts.
    void add_key(std::string key, std::size_t index);

    /// Returns the route of `host` with the longest prefix of `path`, or
    /// null where there is none. Hosts compare without their case, and a port
    /// in `host` counts only if routes have it (RFC 9110, 4.2.3 and 7.2).
    const ServiceRoute* find_route(std::string_view host,
                                   std::string_view path) const;
    /// Returns the account of `key`, or null.
    const AccountSettings* find_account(std::string_view key) const;
    /// Returns the store at `address`, or null.
    const KeptStoreInfo* find_store(std::string_view address) const;
    std::size_t route_count() const { return m_routes; }
    /// Calls `use` with each route.
    void
    for_each_route(const std::function<void(const ServiceRoute&)>& use) const;

private:
    using ByPrefix = std::map<std::string, ServiceRoute, std::less<>>;

    std::map<std::string, ByPrefix, std::less<>> m_hosts;
    std::map<std::string, std::size_t, std::less<>> m_keys;
    std::size_t m_routes = 0;
};

} // namespace crosslink
