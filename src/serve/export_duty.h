// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "instance_state.h"

#include <crosslink/base/bounded_ring.h>
#include <crosslink/base/digest.h>

#include <string>
#include <thread>
#include <vector>

namespace crosslink
{

/// Blocks of one prompt that were just computed and may be reused.
struct ExportJob {
    std::string engine; ///< Address of the engine that has them.
    std::string account;
    std::vector<Digest> keys;
    std::uint64_t block_bytes = 0; ///< KV bytes of each block.
};

/// Exports computed blocks to the stores on a thread of its own, after the
/// answer was sent. A full queue drops jobs: kept blocks only save time, and
/// none are required.
class ExportDuty
{
public:
    explicit ExportDuty(InstanceState& state);
    ~ExportDuty();
    ExportDuty(const ExportDuty&) = delete;
    ExportDuty& operator=(const ExportDuty&) = delete;

    /// Queues `job`; ignores one without keys.
    void add(ExportJob job);

private:
    void process_queue();
    void export_job(const ExportJob& job);
    void export_to_store(const std::string& store_address,
                         const ExportJob& job);

    InstanceState& m_state;
    BoundedRing<ExportJob> m_queue;
    std::thread m_thread;
};

} // namespace crosslink
