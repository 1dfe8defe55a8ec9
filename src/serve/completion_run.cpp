// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "completion_run.h"

#include <adapters/call_connection.h>
#include <adapters/clock.h>
#include <adapters/port_look.h>
#include <adapters/random.h>
#include <crosslink/forward/request_digest.h>
#include <crosslink/ports/engine.h>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <thread>

namespace crosslink
{

namespace
{

/// How long at least an engine gets no work after it refused some, or answered
/// with other weights.
constexpr Micros min_leaving_time = std::chrono::seconds(5);
constexpr Micros retry_delay = std::chrono::seconds(1);
constexpr int max_resumes = 3;
/// Delay before the second resume. It doubles with each further one; up to half
/// of it is taken off at random.
constexpr Micros resume_backoff = std::chrono::milliseconds(100);

/// Returns the digest that all requests with this prompt share; see
/// request_digest().
std::string
digest_of(const CompletionCall& call)
{
    const std::array<std::string_view, 4> parts{call.account->name, call.model,
                                                call.adapter, call.prompt};
    return digest_of_parts(parts);
}

/// Returns a random time between half of `span` and `span`.
Micros
with_jitter(Micros span)
{
    const auto half = static_cast<std::uint64_t>(span.count() / 2);
    return span / 2 + Micros(random_bits() % (half + 1));
}

/// Watches the caller's connection during the lifetime of the object.
class WatchedCaller
{
public:
    WatchedCaller(CallerWatch& watch, int socket,
                  std::function<void()> on_disconnect)
        : m_watch(watch),
          m_watch_id(socket < 0 ? 0
                                : watch.watch(socket, std::move(on_disconnect)))
    {
    }
    ~WatchedCaller()
    {
        if (m_watch_id != 0)
            m_watch.forget(m_watch_id);
    }
    WatchedCaller(const WatchedCaller&) = delete;
    WatchedCaller& operator=(const WatchedCaller&) = delete;

private:
    CallerWatch& m_watch;
    const std::uint64_t m_watch_id;
};

} // namespace

CompletionRun::CompletionRun(InstanceState& state, RunDuties& duties,
                             const CompletionCall& call, TokenSink sink)
    : m_state(state), m_duties(duties), m_call(call), m_sink(std::move(sink)),
      m_relay(call.version), m_crashes(state.crashes, state.unresolved_failures,
                                       [&call] { return digest_of(call); })
{
}

void
CompletionRun::run(int socket)
{
    const WatchedCaller watched(m_duties.watch, socket, [this] {
        m_caller_gone = true;
        cancel_current();
    });
    m_state.retry_budgets.with([this](RetryBudgets& budgets) {
        budgets[m_call.account->name].first_try();
    });
    m_kept_blocks = lookup_kept_blocks(m_state, m_call);
    for (;;) {
        try {
            reject_if_blocked();
            attempt(route());
            if (m_relay.finished())
                m_crashes.record_answer();
            return;
        } catch (const Error& failure) {
            if (m_caller_gone)
                return;
            if (!take_retry(failure))
                throw failure.with_run_state(m_may_have_run
                                                 ? RunState::MayHaveRun
                                                 : failure.run_state());
        }
    }
}

RouteChoice
CompletionRun::route()
{
    RouteRequest request;
    request.model = m_call.model;
    request.version = m_call.version;
    request.adapter = m_call.adapter;
    request.keys = m_call.keys;
    request.prompt_tokens = m_call.prompt_tokens;
    request.zone = m_state.settings.zone;
    request.store = m_kept_blocks.store;
    request.kept = m_kept_blocks.blocks;
    request.avoid = &m_failed_engines;
    request.random = random_bits();
    const TimePoint now = monotonic_now();
    const auto choice = m_state.routing.with([&](Routing& routing) {
        return routing.router.choose(routing.engines, routing.links, request,
                                     now);
    });
    if (!choice)
        throw Error(ErrorCode::NoUpstream,
                    "no engine with this model takes work now",
                    RunState::NotDispatched, retry_delay);
    return *choice;
}

void
CompletionRun::attempt(const RouteChoice& choice)
{
    ++m_attempts;
    try {
        const std::string staged =
            fetch_kept_blocks(m_state, m_call, m_kept_blocks, choice);
        // The caller has disconnected, so nothing is sent.
        if (m_caller_gone)
            return;
        dispatch(choice, staged);
        m_state.routing.with([&](Routing& routing) {
            routing.engines.succeeded(choice.engine);
        });
    } catch (const Error& failure) {
        handle_failure(choice.engine, failure);
        throw;
    }
}

EngineRun
CompletionRun::make_engine_run() const
{
    EngineRun run;
    run.run_id = m_call.request_id + "-" + std::to_string(m_attempts);
    run.account = m_call.account->name;
    run.model = m_call.model;
    run.version = m_call.version;
    run.adapter = m_call.adapter;
    run.prompt = m_call.prompt;
    run.max_tokens = m_call.max_tokens;
    run.priority = m_call.account->policy->priority;
    run.block_keys = m_call.keys;
    run.continued_text = m_relay.text();
    run.continued_tokens = m_relay.next_index();
    return run;
}

void
CompletionRun::record_attempt(const RouteChoice& choice, const EngineRun& run)
{
    m_relay.begin_attempt(run.run_id);
    m_crashes.record_send();
    m_has_gap = false;
    m_state.routing.with([&](Routing& routing) {
        // The engine may have been marked as leaving during the fetch.
        const EngineEntry* engine = routing.engines.find(choice.engine);
        const TimePoint now = monotonic_now();
        if (!engine || now < engine->leaving_until)
            throw Error(ErrorCode::UpstreamRefused, "the engine leaves");
        routing.engines.sent(choice.engine, run.run_id, choice.compute_tokens,
                             now);
    });
    {
        const std::lock_guard lock(m_current_mutex);
        m_current_engine = choice.engine;
        m_current_run = run.run_id;
    }
    ++m_state.metrics.attempts;
    if (run.continued_tokens > 0)
        ++m_state.metrics.continuations;
    m_state.metrics.decision.add(monotonic_now() - m_call.received_at);
}

void
CompletionRun::dispatch(const RouteChoice& choice, const std::string& staged_id)
{
    const EngineRun run = make_engine_run();
    record_attempt(choice, run);
    const auto end = [&] {
        m_state.routing.with([&](Routing& routing) {
            routing.engines.ended(choice.engine, run.run_id);
        });
    };
    try {
        m_state.clients.engine(choice.engine)
            ->run(run, staged_id, [&](const EngineFrame& frame) {
                return handle_frame(choice.engine, frame);
            });
        if (m_has_gap && !resume(choice.engine, run.run_id))
            throw Error(ErrorCode::StreamBroken,
                        "tokens of the stream are missing",
                        RunState::MayHaveRun);
    } catch (const Error& failure) {
        if (!can_resume(failure) || !resume(choice.engine, run.run_id)) {
            end();
            throw;
        }
    }
    end();
    if (m_wrong_weights && !m_caller_gone) {
        m_wrong_weights = false;
        throw Error(ErrorCode::WrongWeights,
                    "the engine answered with other weights",
                    RunState::MayHaveRun);
    }
}

bool
CompletionRun::can_resume(const Error& failure) const
{
    // An engine that sent nothing until the timeout is unlikely to answer a
    // resume.
    return !is_not_run(failure.run_state()) && !m_wrong_weights &&
           failure.code() != ErrorCode::UpstreamTimeout;
}

bool
CompletionRun::resume(const std::string& address, const std::string& run_id)
{
    for (int i = 0; i < max_resumes && !m_caller_gone; ++i) {
        // The first resume is sent at once; the next ones wait, since a broken
        // link needs time to recover.
        if (i > 0)
            std::this_thread::sleep_for(
                with_jitter(resume_backoff * (1 << (i - 1))));
        m_has_gap = false;
        ++m_state.metrics.resumes;
        try {
            m_state.clients.engine(address)->resume(
                run_id, m_relay.next_index(), [&](const EngineFrame& frame) {
                    return handle_frame(address, frame);
                });
        } catch (const Error& failure) {
            spdlog::debug("resume at {}: {}", address, failure.what());
            // The engine takes no connection: another one answers sooner.
            if (failure.run_state() == RunState::NotDispatched &&
                m_call.repeatable)
                break;
            continue;
        }
        if (m_relay.finished())
            return true;
    }
    return m_relay.finished() || m_caller_gone;
}

FrameVerdict
CompletionRun::handle_frame(const std::string& address,
                            const EngineFrame& frame)
{
    m_may_have_run = true;
    switch (m_relay.take(frame)) {
    case RelayAction::Drop:
        ++m_state.metrics.frames_dropped;
        return FrameVerdict::Continue;
    case RelayAction::Gap:
        m_has_gap = true;
        return FrameVerdict::Stop;
    case RelayAction::WrongWeights:
        m_wrong_weights = true;
        cancel_current();
        return FrameVerdict::Stop;
    case RelayAction::Forward:
    case RelayAction::Finish:
        break;
    }
    if (!m_times.first_token)
        m_state.routing.with([&](Routing& routing) {
            routing.engines.computed(address, frame.run_id, m_call.keys);
        });
    relay_text(frame.text);
    if (m_relay.finished()) {
        const std::uint64_t block_bytes =
            m_state.routing.with([&](Routing& routing) {
                const EngineEntry* engine = routing.engines.find(address);
                return engine ? engine->load.block_bytes : std::uint64_t{0};
            });
        m_duties.exports.add(
            {address, m_call.account->name, m_call.keys, block_bytes});
    }
    if (m_caller_gone && !m_relay.finished()) {
        cancel_current();
        return FrameVerdict::Stop;
    }
    return FrameVerdict::Continue;
}

void
CompletionRun::relay_text(const std::string& text)
{
    const TimePoint now = monotonic_now();
    if (!m_times.first_token) {
        m_times.first_token = now;
    } else {
        const Micros between = now - m_times.last_token;
        m_times.slowest_between = std::max(m_times.slowest_between, between);
        m_state.metrics.between_tokens.add(between);
    }
    m_times.last_token = now;
    if (!m_sink(text))
        m_caller_gone = true;
}

bool
CompletionRun::take_retry(const Error& failure)
{
    // Another engine would not help where the answer can't be sent, an
    // invariant is violated, no engine takes work, or engines ended each time
    // they ran this prompt.
    if (failure.code() == ErrorCode::Internal ||
        failure.code() == ErrorCode::NoUpstream ||
        failure.code() == ErrorCode::RequestEndsUpstreams)
        return false;
    if (m_attempts >= m_state.settings.most_attempts)
        return false;
    if (!m_call.repeatable && !is_not_run(failure.run_state()))
        return false;
    return m_state.retry_budgets.with([this](RetryBudgets& budgets) {
        return budgets[m_call.account->name].take_retry();
    });
}

void
CompletionRun::handle_failure(const std::string& address, const Error& failure)
{
    m_failed_engines.insert(address);
    if (!is_not_run(failure.run_state())) {
        m_may_have_run = true;
        probe_for_end(address);
        // The attempt may still run at the engine; its answer is not used.
        cancel_current();
    }
    const TimePoint now = monotonic_now();
    spdlog::info("request={} account={} attempt={} engine={} error={} {}",
                 m_call.request_id, m_call.account->name, m_attempts, address,
                 error_name(failure.code()), failure.what());
    m_state.routing.with([&](Routing& routing) {
        // An engine that refuses is taken to leave or to swap its weights. It
        // gets no work until its next reports can have arrived, nor during the
        // backoff that it asked for.
        const Micros backoff = failure.retry_after().value_or(min_leaving_time);
        if (failure.code() == ErrorCode::UpstreamRefused ||
            failure.code() == ErrorCode::WrongWeights)
            routing.engines.mark_leaving(
                address, now + std::max(min_leaving_time, backoff));
        else
            routing.engines.failed(address, now);
    });
}

/// Throws where too many engines ended while they ran this prompt: the next
/// engine would end as well.
void
CompletionRun::reject_if_blocked()
{
    if (m_crashes.blocked())
        throw Error(ErrorCode::RequestEndsUpstreams,
                    "engines ended each time they ran this prompt");
}

/// Records that the prompt was interrupted at an engine. The engine's process
/// may have ended: its port is probed now, and a few times later.
void
CompletionRun::probe_for_end(const std::string& address)
{
    m_crashes.record_failure({address, 0, address}, true);
    if (look_at_port(address, SingleFields::of_http()).fate ==
        ProcessFate::Ended)
        m_state.engine_ended(address);
    else
        m_state.unresolved_failure_added.wake();
}

void
CompletionRun::cancel_current()
{
    std::string engine;
    std::string run_id;
    {
        const std::lock_guard lock(m_current_mutex);
        engine = m_current_engine;
        run_id = m_current_run;
    }
    if (engine.empty())
        return;
    m_duties.canceler.add({engine, run_id});
}

} // namespace crosslink
