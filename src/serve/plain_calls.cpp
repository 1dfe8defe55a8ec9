// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "plain_calls.h"

#include <adapters/clock.h>
#include <adapters/random.h>
#include <crosslink/base/error.h>
#include <crosslink/forward/queue_limit.h>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>

namespace crosslink
{

namespace
{

constexpr Micros default_retry_delay = std::chrono::seconds(1);

} // namespace

bool
is_idempotent_method(std::string_view method)
{
    constexpr std::array<std::string_view, 5> methods{"GET", "HEAD", "PUT",
                                                      "DELETE", "OPTIONS"};
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

PlainCall
plain_call_of(const CallerRequest& request, const std::string& account)
{
    PlainCall call;
    call.method = request.method;
    call.path = request.path;
    call.body = request.body;
    call.headers.push_back({"X-Request-Id", request.id});
    call.headers.push_back({"X-Client-Account", account});
    if (!request.content_type.empty())
        call.headers.push_back({"Content-Type", request.content_type});
    if (!request.idempotency_key.empty())
        call.headers.push_back({"Idempotency-Key", request.idempotency_key});
    return call;
}

/// Throws Error where the upstream refused the call, and records the backoff
/// that it asked for.
void
PlainCalls::throw_if_refused(const PlainAnswer& answer,
                             const std::string& address)
{
    if (!answer.refused_before_run)
        return;
    m_state.directory.with([&](UpstreamDirectory& directory) {
        directory.backs_off(address, monotonic_now() + answer.backoff);
    });
    throw Error(ErrorCode::UpstreamRefused, address + " refused the call",
                RunState::RefusedBeforeRun, default_retry_delay);
}

/// Returns the delay after which a caller should retry a service of which no
/// upstream takes work.
Micros
PlainCalls::retry_delay_for(const std::string& service)
{
    const TimePoint now = monotonic_now();
    const auto free = m_state.directory.with([&](UpstreamDirectory& directory) {
        return directory.plain_free_at(service);
    });
    if (!free)
        return default_retry_delay;
    return jittered_retry_delay(std::max(min_retry_delay, *free - now),
                                random_bits());
}

PlainAnswer
PlainCalls::run(const std::string& service, const std::string& account,
                const PlainCall& call, bool repeatable)
{
    const auto addresses =
        m_state.directory.with([&](UpstreamDirectory& directory) {
            return directory.plain_for(service, m_state.settings.zone,
                                       random_bits(), monotonic_now());
        });
    if (addresses.empty())
        throw Error(ErrorCode::NoUpstream,
                    "no instance of this service takes work now",
                    RunState::NotDispatched, retry_delay_for(service));
    m_state.retry_budgets.with(
        [&](RetryBudgets& budgets) { budgets[account].first_try(); });
    bool may_have_run = false;
    for (std::size_t i = 0;; ++i) {
        const std::string& address = addresses[i];
        try {
            PlainAnswer answer = m_state.clients.plain(address)->call(call);
            throw_if_refused(answer, address);
            m_state.directory.with([&](UpstreamDirectory& directory) {
                directory.succeeded(address);
            });
            return answer;
        } catch (const Error& failure) {
            m_state.directory.with([&](UpstreamDirectory& directory) {
                directory.failed(address, monotonic_now());
            });
            const bool not_run = is_not_run(failure.run_state());
            may_have_run = may_have_run || !not_run;
            const bool last = i + 1 == addresses.size() ||
                              i + 1 >= m_state.settings.most_attempts;
            const bool again =
                !last && (not_run || repeatable) &&
                m_state.retry_budgets.with([&](RetryBudgets& budgets) {
                    return budgets[account].take_retry();
                });
            if (!again)
                throw failure.with_run_state(
                    may_have_run ? RunState::MayHaveRun : failure.run_state());
        }
    }
}

} // namespace crosslink
