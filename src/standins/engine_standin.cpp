// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "engine_standin.h"

#include "engine_run.h"
#include "prefix_cache.h"

#include <adapters/clock.h>
#include <adapters/http_client.h>
#include <adapters/random.h>
#include <adapters/wire.h>
#include <crosslink/base/error.h>
#include <crosslink/kept/block_key.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <ostream>
#include <set>
#include <thread>
#include <tuple>

namespace crosslink::standins
{

namespace
{

constexpr std::uint64_t most_body_bytes = 64U << 20U;
constexpr AnswerLimit answer_limit{most_body_bytes};

class EngineState
{
public:
    explicit EngineState(const EngineStandinSettings& settings)
        : m_settings(settings), m_id(random_name()),
          m_cache(settings.cache_blocks,
                  std::chrono::milliseconds(settings.event_lag_ms)),
          m_version(settings.version)
    {
    }

    void run(Poco::Net::HTTPServerRequest& request,
             Poco::Net::HTTPServerResponse& answer)
    {
        const Json::Value body =
            parse_json(read_body(request, most_body_bytes));
        const auto run = std::make_shared<Run>();
        run->order = wire::run_from_json(body);
        std::size_t cached = 0;
        {
            const std::lock_guard lock(m_mutex);
            if (run->order.model != m_settings.model ||
                run->order.version != m_version) {
                send_json(answer, 412, Json::Value(Json::objectValue));
                return;
            }
            if (m_leaving) {
                send_json(answer, 503, Json::Value(Json::objectValue));
                return;
            }
            ++m_started;
            m_runs[run->order.run_id] = run;
            use_staged(json_string(body, "staged_id"));
        }
        if (request.has("X-Standin-Drop-Answer")) {
            cut_connection(request);
            return;
        }
        cached = prefill(*run);
        stream(*run, run->order.continued_tokens, cached, answer);
        finish(*run);
    }

    void resume(Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& answer)
    {
        const Json::Value body =
            parse_json(read_body(request, most_body_bytes));
        RunPointer run;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_runs.find(json_string(body, "run_id"));
            if (found != m_runs.end())
                run = found->second;
        }
        if (!run) {
            send_json(answer, 404, Json::Value(Json::objectValue));
            return;
        }
        const auto from = json_uint32(body, "from");
        stream(*run, from, run->order.block_keys.size(), answer);
    }

    Json::Value cancel(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runs.find(json_string(body, "run_id"));
        if (found != m_runs.end() && !found->second->canceled.exchange(true))
            ++m_canceled;
        m_turn.notify_all();
        return Json::Value(Json::objectValue);
    }

    Json::Value import(const Json::Value& body)
    {
        const auto blocks = wire::blocks_from_json(body["blocks"]);
        Json::Value ask;
        ask["slots"] = Json::Value(Json::arrayValue);
        for (const SealedBlock& block : blocks)
            ask["slots"].append(Json::UInt64(block.handle.slot));
        HttpClient store(json_string(body, "store"), transfer_timeouts(),
                         answer_limit);
        const Json::Value read =
            store.post_json("/blocks/read", ask, ErrorCode::BlockGone);
        Staged staged;
        staged.sound = true;
        std::vector<Digest> contents;
        for (std::size_t i = 0; i < blocks.size(); ++i) {
            const std::string data =
                read["data"][static_cast<Json::ArrayIndex>(i)].asString();
            contents.push_back(sha256(data));
            staged.keys.push_back(blocks[i].key);
            staged.sound = staged.sound && data == kv_of(blocks[i].key);
        }
        const std::lock_guard lock(m_mutex);
        if (json_string(body, "version") != m_version)
            throw Error(ErrorCode::BlockGone, "other weights are loaded");
        const std::string id = random_name();
        m_staged[id] = staged;
        Json::Value result;
        result["staged_id"] = id;
        result["contents"] = wire::digests_to_json(contents);
        return result;
    }

    Json::Value discard(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        m_staged.erase(json_string(body, "staged_id"));
        return Json::Value(Json::objectValue);
    }

    Json::Value export_blocks(const Json::Value& body)
    {
        HttpClient store(json_string(body, "store"), transfer_timeouts(),
                         answer_limit);
        std::vector<Digest> contents;
        for (const Json::Value& item : body["blocks"]) {
            const Digest key = Digest::from_hex(json_string(item, "key"));
            {
                const std::lock_guard lock(m_mutex);
                if (!m_cache.contains(key))
                    break;
            }
            Json::Value write = item;
            write["data"] = kv_of(key);
            store.post_json("/blocks/write", write, ErrorCode::BlockGone);
            contents.push_back(sha256(kv_of(key)));
        }
        Json::Value result;
        result["contents"] = wire::digests_to_json(contents);
        return result;
    }

    Json::Value load(const Json::Value&)
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = monotonic_now();
        const auto lag = std::chrono::milliseconds(m_settings.load_lag_ms);
        if (!m_reported || now - m_reported_at >= lag) {
            m_report = wire::load_to_json(current_load());
            m_reported_at = now;
            m_reported = true;
        }
        return m_report;
    }

    Json::Value events(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        Json::Value result;
        result["events"] = wire::events_to_json(
            m_cache.events_after(json_uint64(body, "after")));
        return result;
    }

    Json::Value keys(const Json::Value&)
    {
        const std::lock_guard lock(m_mutex);
        Json::Value result;
        result["keys"] = wire::digests_to_json(m_cache.keys());
        return result;
    }

    Json::Value order(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t token = json_uint64(body, "token");
        if (m_settings.checks_tokens && token < m_highest_token)
            throw Error(ErrorCode::LeaseLost, "the token is too old");
        m_highest_token = std::max(m_highest_token, token);
        if (json_string(body, "action") == "load") {
            m_version = json_string(body, "version");
            m_cache.clear();
        }
        return Json::Value(Json::objectValue);
    }

    /// Fault: {"forget", "lose_events", "leaving"}.
    Json::Value adjust(const Json::Value& body)
    {
        const std::lock_guard lock(m_mutex);
        if (json_bool(body, "forget"))
            m_cache.clear();
        if (json_bool(body, "lose_events"))
            m_cache.lose_events();
        m_leaving = json_bool(body, "leaving", m_leaving);
        return Json::Value(Json::objectValue);
    }

    bool leaving()
    {
        const std::lock_guard lock(m_mutex);
        return m_leaving;
    }

    Json::Value stats(const Json::Value&)
    {
        const std::lock_guard lock(m_mutex);
        Json::Value result;
        result["started"] = Json::UInt64(m_started);
        result["canceled"] = Json::UInt64(m_canceled);
        result["computed_tokens"] = Json::UInt64(m_computed_tokens);
        result["reused_tokens"] = Json::UInt64(m_reused_tokens);
        result["unsound_blocks_used"] = Json::UInt64(m_unsound_used);
        result["running"] = m_running;
        result["version"] = m_version;
        return result;
    }

private:
    /// Order of the queue: priority, then arrival.
    using Place = std::pair<int, std::uint64_t>;

    static HttpTimeouts transfer_timeouts()
    {
        return {std::chrono::seconds(1), std::chrono::seconds(20)};
    }

    void use_staged(const std::string& id)
    {
        const auto found = m_staged.find(id);
        if (found == m_staged.end())
            return;
        if (!found->second.sound)
            ++m_unsound_used;
        m_cache.store(found->second.keys);
        m_staged.erase(found);
    }

    std::uint64_t uncached_tokens(const Run& run)
    {
        const std::size_t blocks = m_cache.prefix(run.order.block_keys);
        const std::uint64_t all = prompt_tokens(run.order);
        return all - std::min<std::uint64_t>(all, blocks * block_tokens);
    }

    /// Waits for a slot and for the turn, then computes what is not cached.
    /// Returns the number of blocks that were cached.
    std::size_t prefill(Run& run)
    {
        std::unique_lock lock(m_mutex);
        const Place place{-static_cast<int>(run.order.priority), ++m_arrivals};
        m_waiting[place] = uncached_tokens(run);
        m_turn.wait(lock, [&] {
            const bool first = m_waiting.begin()->first == place;
            return run.canceled ||
                   (first && !m_prefilling && m_running < m_settings.slots);
        });
        m_waiting.erase(place);
        ++m_running;
        if (run.canceled) {
            m_turn.notify_all();
            return 0;
        }
        m_prefilling = true;
        const std::size_t blocks = m_cache.prefix(run.order.block_keys);
        const std::uint64_t tokens = uncached_tokens(run);
        m_prefill_tokens = tokens;
        lock.unlock();
        std::this_thread::sleep_for(
            from_seconds(static_cast<double>(tokens) /
                         m_settings.prefill_tokens_per_second));
        lock.lock();
        m_prefilling = false;
        m_prefill_tokens = 0;
        m_computed_tokens += tokens;
        m_reused_tokens += prompt_tokens(run.order) - tokens;
        m_cache.store(run.order.block_keys);
        m_turn.notify_all();
        return blocks;
    }

    void finish(Run& run)
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_finished.push_back(run.order.run_id);
        constexpr std::size_t kept_runs = 512;
        if (m_finished.size() > kept_runs) {
            m_runs.erase(m_finished.front());
            m_finished.pop_front();
        }
        m_turn.notify_all();
    }

    void stream(Run& run, std::uint32_t from, std::size_t cached,
                Poco::Net::HTTPServerResponse& answer)
    {
        answer.setContentType("text/event-stream");
        answer.setChunkedTransferEncoding(true);
        std::ostream& out = answer.send();
        for (std::uint32_t i = from; i < run.order.max_tokens; ++i) {
            if (i > from)
                std::this_thread::sleep_for(
                    std::chrono::milliseconds(m_settings.token_ms));
            if (run.canceled || !out)
                return;
            const EngineFrame frame = frame_of(run.order, i, cached);
            out << "data: " << json_text(wire::frame_to_json(frame)) << "\n\n";
            out.flush();
        }
    }

    EngineLoad current_load() const
    {
        EngineLoad load;
        load.engine_id = m_id;
        load.resident.push_back({m_settings.model, m_version, {"tags"}});
        load.running = m_running;
        load.waiting = static_cast<std::uint32_t>(m_waiting.size());
        load.waiting_tokens = m_prefill_tokens;
        for (const auto& [place, tokens] : m_waiting)
            load.waiting_tokens += tokens;
        load.prefill_tokens_per_second = m_settings.prefill_tokens_per_second;
        load.block_bytes = m_settings.block_bytes;
        load.slots = m_settings.slots;
        load.leaving = m_leaving;
        load.last_event = m_cache.last_event();
        return load;
    }

    const EngineStandinSettings m_settings;
    const std::string m_id;
    std::mutex m_mutex;
    std::condition_variable m_turn;
    PrefixCache m_cache;
    std::string m_version;
    std::map<std::string, RunPointer> m_runs;
    std::list<std::string> m_finished;
    std::map<std::string, Staged> m_staged;
    std::map<Place, std::uint64_t> m_waiting;
    std::uint64_t m_arrivals = 0;
    std::uint32_t m_running = 0;
    bool m_prefilling = false;
    std::uint64_t m_prefill_tokens = 0;
    bool m_leaving = false;
    std::uint64_t m_highest_token = 0;
    bool m_reported = false;
    TimePoint m_reported_at{};
    Json::Value m_report;
    std::uint64_t m_started = 0;
    std::uint64_t m_canceled = 0;
    std::uint64_t m_computed_tokens = 0;
    std::uint64_t m_reused_tokens = 0;
    std::uint64_t m_unsound_used = 0;
};

} // namespace

void
run_engine(const EngineStandinSettings& settings)
{
    EngineState state(settings);
    StandinServer server;
    server.call("/runs/cancel", state, &EngineState::cancel);
    server.call("/kv/import", state, &EngineState::import);
    server.call("/kv/discard", state, &EngineState::discard);
    server.call("/kv/export", state, &EngineState::export_blocks);
    server.call("/kv/events", state, &EngineState::events);
    server.call("/kv/keys", state, &EngineState::keys);
    server.call("/load", state, &EngineState::load);
    server.call("/orders", state, &EngineState::order);
    server.call("/stats", state, &EngineState::stats);
    server.call("/adjust", [&](const Json::Value& body) {
        Json::Value result = state.adjust(body);
        server.set_leaving(state.leaving());
        return result;
    });
    server.raw("/runs/resume", [&state](auto& request, auto& answer) {
        state.resume(request, answer);
    });
    server.raw("/runs", [&state](auto& request, auto& answer) {
        state.run(request, answer);
    });
    server.start(settings.common);
    Json::Value instance;
    instance["kind"] = "engine";
    server.announce(settings.common, instance);
    StandinServer::wait_for_signal();
}

} // namespace crosslink::standins
