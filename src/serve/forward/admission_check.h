// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_state.h"
#include "runner_choice.h"

#include <crosslink/base/time.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/service_map.h>

#include <cstdint>

namespace crosslink
{

struct QueueRefusal;
struct QueuedCall;

/// Refuses a call that would wait too long in the queue of the runner that was
/// chosen for it; see QueueLimit.
class AdmissionCheck
{
public:
    /// All references must outlive this object. `account` is the account of the
    /// call; null on open routes.
    AdmissionCheck(ForwardState& state, const RunnerChoice& choice,
                   const ForwardedCall& call, const ServiceRoute& route,
                   const AccountSettings* account);

    /// Throws Error if the call, which was sent `sends` times, has not been
    /// sent yet and would wait too long.
    void check(std::uint32_t sends) const;
    /// Records that the first event of the call, expected at `expected_at`,
    /// came at `now`.
    void note_first_event(TimePoint expected_at, TimePoint now) const;
    /// Returns the rank of the call; 0 is the most urgent.
    std::uint32_t priority() const;

private:
    Micros lateness() const;
    [[noreturn]] void refuse(const QueuedCall& call,
                             const QueueRefusal& refusal) const;

    ForwardState& m_state;
    const RunnerChoice& m_choice;
    const ForwardedCall& m_call;
    const ServiceRoute& m_route;
    const AccountSettings* m_account;
};

} // namespace crosslink
