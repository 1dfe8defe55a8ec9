// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "export_duty.h"

#include <adapters/clock.h>
#include <crosslink/base/error.h>
#include <crosslink/ports/engine.h>
#include <crosslink/ports/store.h>

#include <spdlog/spdlog.h>

namespace crosslink
{

namespace
{

constexpr std::size_t queue_capacity = 256;

/// Abandons the reservations of the blocks from index `first` on.
void
abandon_reservations(Store& store, const std::vector<ExportBlock>& blocks,
                     std::size_t first)
{
    for (std::size_t i = first; i < blocks.size(); ++i) {
        try {
            store.abandon(blocks[i].key, blocks[i].handle);
        } catch (const Error&) {
            // The store ends reservations by itself when it needs the space.
            continue;
        }
    }
}

} // namespace

ExportDuty::ExportDuty(InstanceState& state)
    : m_state(state), m_queue(queue_capacity),
      m_thread([this] { process_queue(); })
{
}

ExportDuty::~ExportDuty()
{
    m_queue.close();
    m_thread.join();
}

void
ExportDuty::add(ExportJob job)
{
    if (!job.keys.empty())
        m_queue.push(std::move(job));
}

void
ExportDuty::process_queue()
{
    while (const auto job = m_queue.pop()) {
        try {
            export_job(*job);
        } catch (const Error& failure) {
            ++m_state.metrics.exports_failed;
            spdlog::debug("export: {}", failure.what());
        }
    }
}

void
ExportDuty::export_job(const ExportJob& job)
{
    const auto stores =
        m_state.directory.with([&](UpstreamDirectory& directory) {
            return directory.stores_for(job.keys.front().hex(),
                                        monotonic_now());
        });
    if (!stores.empty())
        export_to_store(stores.front(), job);
}

void
ExportDuty::export_to_store(const std::string& store_address,
                            const ExportJob& job)
{
    const auto store = m_state.clients.store(store_address);
    const auto engine = m_state.clients.engine(job.engine);
    const std::size_t kept = store->lookup(job.keys).size();
    std::vector<ExportBlock> blocks;
    for (std::size_t i = kept; i < job.keys.size(); ++i) {
        const auto handle =
            store->reserve(job.keys[i], job.account, job.block_bytes);
        // Another engine writes this block now. The blocks after it are only
        // of use once it is there.
        if (!handle)
            break;
        blocks.push_back({job.keys[i], *handle});
    }
    if (blocks.empty())
        return;
    std::size_t sealed = 0;
    try {
        const auto contents = engine->export_blocks(store_address, blocks);
        // A store lists a block only once it is sealed, and a block is sealed
        // only after the engine reported that it is completely written.
        for (; sealed < contents.size() && sealed < blocks.size(); ++sealed)
            store->seal(blocks[sealed].key, blocks[sealed].handle,
                        contents[sealed]);
    } catch (const Error&) {
        abandon_reservations(*store, blocks, sealed);
        throw;
    }
    abandon_reservations(*store, blocks, sealed);
    m_state.metrics.blocks_exported += sealed;
}

} // namespace crosslink
