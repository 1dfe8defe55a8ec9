// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "clients.h"

#include "settings.h"

#include <adapters/clock.h>
#include <adapters/engine_http.h>
#include <adapters/peer_rpc_client.h>
#include <adapters/plain_http.h>
#include <adapters/platform_http.h>
#include <adapters/store_http.h>

namespace crosslink
{

namespace
{

/// Timeout of short calls: load reports, lookups and calls to peers.
constexpr Micros short_call = std::chrono::milliseconds(1000);

/// A client that was not used for this time is taken to belong to an instance
/// that no longer exists.
constexpr Micros idle_expiry = std::chrono::minutes(10);

template<typename Pool, typename Make>
auto
find_or_make(std::mutex& mutex, Pool& pool, const std::string& address,
             const Make& make)
{
    const TimePoint now = monotonic_now();
    const std::lock_guard lock(mutex);
    if (!pool.contains(address))
        std::erase_if(pool, [now](const auto& item) {
            return now - item.second.last_used > idle_expiry;
        });
    auto& entry = pool[address];
    entry.last_used = now;
    if (!entry.client)
        entry.client = make();
    return entry.client;
}

} // namespace

Clients::Clients(const Settings& settings)
    : m_settings(settings), m_proof(peer_proof(settings.fleet_secret)),
      m_platform(std::make_unique<PlatformHttp>(
          settings.platform,
          HttpTimeouts{settings.connect_timeout, settings.platform_timeout})),
      m_watching_platform(std::make_unique<PlatformHttp>(
          settings.platform,
          HttpTimeouts{settings.connect_timeout,
                       watch_time + settings.platform_timeout}))
{
}

Clients::~Clients() = default;

std::shared_ptr<Engine>
Clients::engine(const std::string& address)
{
    return find_or_make(m_mutex, m_engines, address, [&] {
        return std::make_shared<EngineHttp>(
            address,
            HttpTimeouts{m_settings.connect_timeout,
                         m_settings.upstream_timeout},
            HttpTimeouts{m_settings.connect_timeout, short_call});
    });
}

std::shared_ptr<Store>
Clients::store(const std::string& address)
{
    return find_or_make(m_mutex, m_stores, address, [&] {
        return std::make_shared<StoreHttp>(
            address, HttpTimeouts{m_settings.connect_timeout, short_call});
    });
}

std::shared_ptr<PlainService>
Clients::plain(const std::string& address)
{
    return find_or_make(m_mutex, m_plains, address, [&] {
        return std::make_shared<PlainHttp>(
            address, HttpTimeouts{m_settings.connect_timeout,
                                  m_settings.upstream_timeout});
    });
}

std::shared_ptr<Peer>
Clients::peer(const std::string& address)
{
    return find_or_make(m_mutex, m_peers, address, [&] {
        return std::make_shared<PeerRpcClient>(
            address, m_proof,
            HttpTimeouts{m_settings.connect_timeout, short_call});
    });
}

} // namespace crosslink
