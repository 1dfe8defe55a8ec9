// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "plain_standin.h"

#include <chrono>
#include <map>
#include <mutex>
#include <thread>

namespace crosslink::standins
{

namespace
{

constexpr std::uint64_t most_body_bytes = 64U << 20U;

/// Counts the runs; a call has run once its count is raised.
class PlainState
{
public:
    explicit PlainState(const PlainStandinSettings& settings)
        : m_settings(settings)
    {
    }

    void serve(Poco::Net::HTTPServerRequest& request,
               Poco::Net::HTTPServerResponse& answer)
    {
        const std::string body = read_body(request, most_body_bytes);
        const std::string key = request.get("X-Client-Account", "") + "/" +
                                request.get("Idempotency-Key", "");
        std::uint64_t run = 0;
        {
            const std::lock_guard lock(m_mutex);
            run = ++m_runs[key];
            ++m_total;
        }
        std::this_thread::sleep_for(
            std::chrono::milliseconds(m_settings.work_ms));
        if (request.has("X-Standin-Drop-Answer")) {
            cut_connection(request);
            return;
        }
        if (request.has("X-Standin-Fail-After")) {
            send_json(answer, 503, Json::Value(Json::objectValue));
            return;
        }
        Json::Value result;
        result["service"] = m_settings.service;
        result["path"] = request.getURI();
        result["run"] = Json::UInt64(run);
        result["received"] = body;
        send_json(answer, 200, result);
    }

    Json::Value stats(const Json::Value&)
    {
        const std::lock_guard lock(m_mutex);
        Json::Value result;
        result["total"] = Json::UInt64(m_total);
        result["runs"] = Json::Value(Json::objectValue);
        std::uint64_t most = 0;
        for (const auto& [key, runs] : m_runs) {
            result["runs"][key] = Json::UInt64(runs);
            if (!key.ends_with('/'))
                most = std::max(most, runs);
        }
        result["most_runs_of_one_key"] = Json::UInt64(most);
        return result;
    }

private:
    const PlainStandinSettings m_settings;
    std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_total = 0;
};

} // namespace

void
run_plain(const PlainStandinSettings& settings)
{
    PlainState state(settings);
    StandinServer server;
    server.call("/stats", state, &PlainState::stats);
    server.raw("/", [&state](auto& request, auto& answer) {
        state.serve(request, answer);
    });
    server.start(settings.common);
    Json::Value instance;
    instance["kind"] = "plain";
    instance["service"] = settings.service;
    server.announce(settings.common, instance);
    StandinServer::wait_for_signal();
}

} // namespace crosslink::standins
