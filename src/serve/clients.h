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

/// Makes and keeps one client for each outside party; those that nobody asked
/// for in ten minutes go when a new one is made. This is the one place
/// where the adapters are chosen. Safe for many threads.
class Clients
{
public:
    explicit Clients(const Settings& settings);
    ~Clients();

    Platform& platform() { return *m_platform; }
    /// Waits longer for an answer; for watches only.
    Platform& watching_platform() { return *m_watching_platform; }
    std::shared_ptr<Engine> engine(const std::string& address);
    std::shared_ptr<Store> store(const std::string& address);
    std::shared_ptr<PlainService> plain(const std::string& address);
    std::shared_ptr<Peer> peer(const std::string& address);

private:
    /// A client with the time when it was last asked for.
    template<typename Client> struct PoolEntry {
        std::shared_ptr<Client> client;
        TimePoint at{};
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

/// Longest time that a watch waits at the platform.
inline constexpr Micros watch_time = std::chrono::seconds(10);

} // namespace crosslink
