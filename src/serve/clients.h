// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace crosslink
{

class Engine;
class Peer;
class PlainService;
class Platform;
class Store;
struct Settings;

/// Creates and caches one client for each remote address. Clients that were not
/// requested for ten minutes are removed when a new one is created. Only this
/// class chooses the adapters. Thread-safe.
class Clients
{
public:
    explicit Clients(const Settings& settings);
    ~Clients();

    Platform& platform() { return *m_platform; }
    /// Returns a client with a longer answer timeout, for watches only.
    Platform& watching_platform() { return *m_watching_platform; }
    std::shared_ptr<Engine> engine(const std::string& address);
    std::shared_ptr<Store> store(const std::string& address);
    std::shared_ptr<PlainService> plain(const std::string& address);
    std::shared_ptr<Peer> peer(const std::string& address);

private:
    /// A client with the time when it was last requested.
    template<typename Client> struct PoolEntry {
        std::shared_ptr<Client> client;
        TimePoint last_used{};
    };
    template<typename Client>
    using Pool = std::map<std::string, PoolEntry<Client>>;

    const Settings& m_settings;
    const std::string m_proof;
    std::unique_ptr<Platform> m_platform;
    std::unique_ptr<Platform> m_watching_platform;
    std::mutex m_mutex;
    Pool<Engine> m_engines;
    Pool<Store> m_stores;
    Pool<PlainService> m_plains;
    Pool<Peer> m_peers;
};

/// Longest time that the platform holds a watch request open.
inline constexpr Micros watch_time = std::chrono::seconds(10);

} // namespace crosslink
