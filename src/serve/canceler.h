// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "instance_state.h"

#include <crosslink/base/bounded_ring.h>

#include <string>
#include <thread>

namespace crosslink
{

/// Names a run to cancel because its caller no longer waits for it.
struct CancelRequest {
    std::string engine; ///< Address.
    std::string run_id;
};

/// Cancels runs at their engines, on a thread of its own, so that a slow engine
/// delays no request.
class Canceler
{
public:
    explicit Canceler(InstanceState& state);
    ~Canceler();
    Canceler(const Canceler&) = delete;
    Canceler& operator=(const Canceler&) = delete;

    void add(CancelRequest request) { m_queue.push(std::move(request)); }

private:
    void process_queue();

    InstanceState& m_state;
    BoundedRing<CancelRequest> m_queue;
    std::thread m_thread;
};

} // namespace crosslink
