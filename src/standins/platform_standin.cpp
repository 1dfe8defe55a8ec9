// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "platform_standin.h"

#include <adapters/clock.h>
#include <crosslink/admit/token_bucket.h>
#include <crosslink/base/error.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>

namespace crosslink::standins
{

namespace
{

constexpr std::size_t most_value_bytes = 1U << 20U;
constexpr double burst_seconds = 1;

struct Record {
    std::string value;
    std::uint64_t version = 0;
};

struct Lease {
    std::string holder;
    std::uint64_t token = 0;
    TimePoint until{};
};

struct Listed {
    Json::Value instance;
    TimePoint seen{};
};

/// The state of the stand-in; every public function is one call of it.
class PlatformState
{
public:
    explicit PlatformState(const PlatformStandinSettings& settings)
        : m_settings(settings)
    {
    }

    Json::Value read(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        count_read();
        return describe(json_string(body, "key"), 0);
    }

    Json::Value list(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        count_read();
        const std::string prefix = json_string(body, "prefix");
        Json::Value result;
        result["records"] = Json::Value(Json::arrayValue);
        for (auto at = m_records.lower_bound(prefix);
             at != m_records.end() && at->first.starts_with(prefix); ++at) {
            Json::Value item = describe(at->first, 0);
            item["key"] = at->first;
            result["records"].append(item);
        }
        return result;
    }

    Json::Value write(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        count_write();
        const std::string value = json_string(body, "value");
        if (value.size() > most_value_bytes)
            throw Error(ErrorCode::BodyTooLarge, "a value is too large");
        const std::string key = json_string(body, "key");
        const bool applied = version_of(key) == json_uint64(body, "expected");
        if (applied) {
            Record& record = m_records[key];
            record.value = value;
            record.version = next_version(key);
        }
        m_changed.notify_all();
        return outcome(applied, key);
    }

    Json::Value remove(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        count_write();
        const std::string key = json_string(body, "key");
        const std::uint64_t version = version_of(key);
        const bool applied =
            version != 0 && version == json_uint64(body, "expected");
        if (applied)
            m_records.erase(key);
        return outcome(applied, key);
    }

    Json::Value watch(const Json::Value& body)
    {
        const std::string key = json_string(body, "key");
        const std::uint64_t seen = json_uint64(body, "seen");
        const auto wait =
            std::chrono::milliseconds(json_uint64(body, "wait_ms"));
        std::unique_lock lock(m_mutex);
        count_read();
        m_changed.wait_for(lock, wait, [&] { return version_of(key) > seen; });
        return describe(key, seen);
    }

    Json::Value take_lease(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        count_write();
        const TimePoint now = monotonic_now();
        const std::string holder = json_string(body, "holder");
        Lease& lease = m_leases[json_string(body, "name")];
        const bool free = lease.holder.empty() || now >= lease.until;
        Json::Value result;
        result["granted"] = free || lease.holder == holder;
        if (!result["granted"].asBool())
            return result;
        if (free)
            lease.token = ++m_last_token;
        lease.holder = holder;
        lease.until =
            now + std::chrono::milliseconds(json_uint64(body, "ttl_ms"));
        result["token"] = Json::UInt64(lease.token);
        return result;
    }

    Json::Value release_lease(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        count_write();
        Lease& lease = m_leases[json_string(body, "name")];
        if (lease.token == json_uint64(body, "token"))
            lease.holder.clear();
        return Json::Value(Json::objectValue);
    }

    Json::Value announce(const Json::Value& body)
    {
        // The list is another service of the platform: its calls do not
        // count against the key-value rates.
        const std::lock_guard lock(m_mutex);
        m_list[json_string(body, "id")] = {body, monotonic_now()};
        refresh_list();
        return Json::Value(Json::objectValue);
    }

    Json::Value instances(const Json::Value&)
    {
        const std::lock_guard lock(m_mutex);
        refresh_list();
        return m_told;
    }

    Json::Value stats(const Json::Value&)
    {
        const std::lock_guard lock(m_mutex);
        Json::Value result;
        result["reads"] = Json::UInt64(m_reads);
        result["writes"] = Json::UInt64(m_writes);
        result["throttled"] = Json::UInt64(m_throttled);
        result["records"] = Json::UInt64(m_records.size());
        return result;
    }

private:
    void count_read()
    {
        count(m_read_bucket, m_settings.reads_per_second, m_reads);
    }
    void count_write()
    {
        count(m_write_bucket, m_settings.writes_per_second, m_writes);
    }

    void count(TokenBucket& bucket, double rate, std::uint64_t& counter)
    {
        if (!bucket.take(1, rate, rate * burst_seconds, monotonic_now())) {
            ++m_throttled;
            throw Error(ErrorCode::RateLimited, "too many calls");
        }
        ++counter;
    }

    std::uint64_t version_of(const std::string& key) const
    {
        const auto found = m_records.find(key);
        return found == m_records.end() ? 0 : found->second.version;
    }

    /// Versions never repeat, also not after a removal.
    std::uint64_t next_version(const std::string& key)
    {
        return ++m_versions[key];
    }

    Json::Value describe(const std::string& key, std::uint64_t seen) const
    {
        Json::Value result;
        const auto found = m_records.find(key);
        result["found"] =
            found != m_records.end() && found->second.version > seen;
        if (!result["found"].asBool())
            return result;
        result["value"] = found->second.value;
        result["version"] = Json::UInt64(found->second.version);
        return result;
    }

    Json::Value outcome(bool applied, const std::string& key) const
    {
        Json::Value result;
        result["applied"] = applied;
        result["version"] = Json::UInt64(version_of(key));
        return result;
    }

    /// Takes a new picture of the list once the told one is old enough.
    void refresh_list()
    {
        const TimePoint now = monotonic_now();
        const auto lag = std::chrono::milliseconds(m_settings.list_lag_ms);
        if (m_told_at != TimePoint{} && now - m_told_at < lag)
            return;
        m_told_at = now;
        const auto expiry =
            std::chrono::milliseconds(m_settings.list_expiry_ms);
        std::erase_if(m_list, [&](const auto& item) {
            return now - item.second.seen > expiry;
        });
        m_told["instances"] = Json::Value(Json::arrayValue);
        for (const auto& [id, listed] : m_list)
            m_told["instances"].append(listed.instance);
    }

    const PlatformStandinSettings m_settings;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Record> m_records;
    std::map<std::string, std::uint64_t> m_versions;
    std::map<std::string, Lease> m_leases;
    std::map<std::string, Listed> m_list;
    Json::Value m_told;
    TimePoint m_told_at{};
    std::uint64_t m_last_token = 0;
    TokenBucket m_read_bucket;
    TokenBucket m_write_bucket;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_throttled = 0;
};

} // namespace

void
run_platform(const PlatformStandinSettings& settings)
{
    PlatformState state(settings);
    StandinServer server;
    server.call("/kv/read", state, &PlatformState::read);
    server.call("/kv/list", state, &PlatformState::list);
    server.call("/kv/write", state, &PlatformState::write);
    server.call("/kv/remove", state, &PlatformState::remove);
    server.call("/kv/watch", state, &PlatformState::watch);
    server.call("/lease/take", state, &PlatformState::take_lease);
    server.call("/lease/release", state, &PlatformState::release_lease);
    server.call("/instances/announce", state, &PlatformState::announce);
    server.call("/instances/list", state, &PlatformState::instances);
    server.call("/stats", state, &PlatformState::stats);
    server.start(settings.common);
    StandinServer::wait_for_signal();
}

} // namespace crosslink::standins
