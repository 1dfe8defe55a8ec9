// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "load_run.h"

#include <adapters/clock.h>
#include <adapters/http_client.h>
#include <crosslink/base/digest.h>
#include <crosslink/base/error.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace crosslink::bench
{

namespace
{

constexpr std::string_view data_prefix = "data: ";
constexpr std::string_view done_event = "[DONE]";
constexpr int success = 200;
constexpr AnswerLimit answer_limit{16U << 20U};

/// What became of one request.
struct Outcome {
    bool whole = false;
    bool wrong = false;  ///< Not a prefix of the right answer, or short.
    std::string failure; ///< Type of the error, where it failed.
    Micros first_token{0};
    Micros slowest_between{0};
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint32_t tries = 0;
    Micros late{0}; ///< How much later than due it was sent.
};

std::string
expected_text(const LoadTargets& targets, const std::string& prompt)
{
    std::string text;
    for (std::uint32_t i = 0; i < targets.tokens; ++i) {
        const std::string seed = targets.model + "\n" + targets.version +
                                 "\n\n" + prompt + "\n" + std::to_string(i);
        text += " w" + sha256(seed).hex().substr(0, 5);
    }
    return text;
}

class LoadRun
{
public:
    LoadRun(const std::vector<PlannedRequest>& plan, const LoadTargets& targets)
        : m_plan(plan), m_targets(targets), m_outcomes(plan.size())
    {
        constexpr Micros connect = std::chrono::seconds(1);
        constexpr Micros receive = std::chrono::seconds(60);
        for (const std::string& address : targets.addresses)
            m_clients.push_back(std::make_unique<HttpClient>(
                address, HttpTimeouts{connect, receive}, answer_limit));
    }

    Json::Value run()
    {
        m_began = monotonic_now();
        std::vector<std::thread> threads;
        for (std::uint32_t i = 0; i < m_targets.threads; ++i)
            threads.emplace_back([this] { work(); });
        for (std::thread& thread : threads)
            thread.join();
        return summary();
    }

private:
    void work()
    {
        for (;;) {
            const std::size_t number = m_next++;
            if (number >= m_plan.size())
                return;
            const TimePoint due = m_began + m_plan[number].due;
            const Micros wait = due - monotonic_now();
            if (wait.count() > 0)
                std::this_thread::sleep_for(wait);
            m_outcomes[number].late = monotonic_now() - due;
            try_often(m_plan[number], due, m_outcomes[number]);
        }
    }

    void try_often(const PlannedRequest& request, TimePoint due,
                   Outcome& outcome)
    {
        std::uint32_t target = request.target;
        for (std::uint32_t i = 0; i <= m_targets.retries; ++i) {
            ++outcome.tries;
            outcome.failure.clear();
            send(request, target++ % m_clients.size(), due, outcome);
            if (outcome.whole || outcome.wrong)
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(100 << i));
        }
    }

    void send(const PlannedRequest& request, std::size_t target, TimePoint due,
              Outcome& outcome)
    {
        Json::Value body;
        body["model"] = m_targets.model;
        body["prompt"] = request.prompt;
        body["max_tokens"] = m_targets.tokens;
        body["stream"] = true;
        HttpRequest http;
        http.path = "/v1/completions";
        if (m_targets.direct) {
            http.path = "/runs";
            body["run_id"] = std::to_string(++m_run_ids);
            body["version"] = m_targets.version;
        }
        http.headers.push_back(
            {"Authorization", "Bearer " + key_of(request.account)});
        http.body = json_text(body);
        std::string text;
        TimePoint last{};
        try {
            const HttpAnswer answer =
                m_clients[target]->stream(http, [&](std::string_view line) {
                    return take(line, due, text, last, outcome);
                });
            if (answer.status != success)
                outcome.failure = json_string(parse_json(answer.body)["error"],
                                              "type", "unknown");
        } catch (const Error& failure) {
            outcome.failure = std::string(error_name(failure.code()));
        }
        if (outcome.whole)
            outcome.wrong = text != expected_text(m_targets, request.prompt);
        else if (outcome.failure.empty())
            outcome.wrong = true;
    }

    static bool take(std::string_view line, TimePoint due, std::string& text,
                     TimePoint& last, Outcome& outcome)
    {
        if (!line.starts_with(data_prefix))
            return true;
        line.remove_prefix(data_prefix.size());
        if (line == done_event) {
            outcome.whole = true;
            return true;
        }
        const TimePoint now = monotonic_now();
        const Json::Value event = parse_json(line);
        if (event.isMember("run_id")) {
            if (text.empty())
                outcome.first_token = now - due;
            text += json_string(event, "text");
            outcome.whole = json_bool(event, "last");
            return true;
        }
        if (event.isMember("error")) {
            outcome.failure = json_string(event["error"], "type", "unknown");
            return true;
        }
        const Json::Value& usage = event["usage"];
        if (usage.isObject()) {
            outcome.prompt_tokens = json_uint64(usage, "prompt_tokens");
            outcome.cached_tokens =
                json_uint64(usage["prompt_tokens_details"], "cached_tokens");
            return true;
        }
        if (text.empty())
            outcome.first_token = now - due;
        else
            outcome.slowest_between =
                std::max(outcome.slowest_between, now - last);
        last = now;
        text += event["choices"][0]["text"].asString();
        return true;
    }

    static double quantile(std::vector<double>& values, double share)
    {
        if (values.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(
            std::ceil(share * static_cast<double>(values.size())));
        const std::size_t at = std::max<std::size_t>(rank, 1) - 1;
        std::nth_element(values.begin(),
                         values.begin() + static_cast<std::ptrdiff_t>(at),
                         values.end());
        return values[at];
    }

    Json::Value summary() const
    {
        std::vector<double> first;
        std::vector<double> returning;
        std::vector<double> between;
        std::map<std::string, std::uint64_t> failures;
        std::uint64_t measured = 0;
        std::uint64_t whole = 0;
        std::uint64_t wrong = 0;
        std::uint64_t retried = 0;
        std::uint64_t prompt = 0;
        std::uint64_t computed = 0;
        Micros latest{0};
        for (std::size_t i = 0; i < m_plan.size(); ++i) {
            const Outcome& outcome = m_outcomes[i];
            latest = std::max(latest, outcome.late);
            if (!m_plan[i].measured)
                continue;
            ++measured;
            whole += outcome.whole ? 1 : 0;
            wrong += outcome.wrong ? 1 : 0;
            retried += outcome.tries - 1;
            if (!outcome.whole) {
                ++failures[outcome.failure];
                continue;
            }
            first.push_back(seconds(outcome.first_token) * 1e3);
            between.push_back(seconds(outcome.slowest_between) * 1e3);
            if (!m_plan[i].returning)
                continue;
            returning.push_back(first.back());
            prompt += outcome.prompt_tokens;
            computed += outcome.prompt_tokens - outcome.cached_tokens;
        }
        Json::Value value;
        value["requests"] = Json::UInt64(measured);
        value["answered"] = Json::UInt64(whole);
        value["wrong_or_short"] = Json::UInt64(wrong);
        value["retried"] = Json::UInt64(retried);
        value["failures"] = Json::Value(Json::objectValue);
        for (const auto& [name, count] : failures)
            value["failures"][name] = Json::UInt64(count);
        for (const double share : {0.5, 0.95, 0.99}) {
            const std::string name =
                "p" + std::to_string(static_cast<int>(share * 100));
            value["first_token_ms"][name] = quantile(first, share);
            value["returning_first_token_ms"][name] =
                quantile(returning, share);
            value["slowest_between_ms"][name] = quantile(between, share);
        }
        value["recomputed_share"] =
            prompt == 0
                ? 0
                : static_cast<double>(computed) / static_cast<double>(prompt);
        value["sent_late_ms"] = seconds(latest) * 1e3;
        return value;
    }

    const std::vector<PlannedRequest>& m_plan;
    const LoadTargets& m_targets;
    std::vector<Outcome> m_outcomes;
    std::vector<std::unique_ptr<HttpClient>> m_clients;
    std::atomic<std::size_t> m_next{0};
    std::atomic<std::uint64_t> m_run_ids{0};
    TimePoint m_began{};
};

} // namespace

std::string
key_of(std::uint32_t account)
{
    return "key-" + std::to_string(account);
}

Json::Value
run_load(const std::vector<PlannedRequest>& plan, const LoadTargets& targets)
{
    return LoadRun(plan, targets).run();
}

} // namespace crosslink::bench
