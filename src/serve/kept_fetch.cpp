// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "kept_fetch.h"

#include "completion_call.h"

#include <adapters/clock.h>
#include <crosslink/base/error.h>
#include <crosslink/kept/import_check.h>
#include <crosslink/ports/engine.h>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// A fetch is given up after this many times its expected duration, but not
/// before the minimum; from then on recomputing is faster.
constexpr int max_delay_factor = 3;
constexpr Micros min_fetch_timeout = std::chrono::milliseconds(250);

/// Records a fetch in the link table for the lifetime of the object.
class ActiveTransfer
{
public:
    ActiveTransfer(InstanceState& state, const std::string& store,
                   std::uint64_t bytes)
        : m_state(state), m_store(store), m_bytes(bytes),
          m_began(monotonic_now())
    {
        m_expected = m_state.routing.with([&](Routing& routing) {
            routing.links.begin(m_store, m_bytes);
            return routing.links.expected(m_store, 0);
        });
    }

    ~ActiveTransfer()
    {
        m_state.routing.with([&](Routing& routing) {
            routing.links.end(m_store, m_bytes, monotonic_now() - m_began,
                              m_complete);
        });
    }

    ActiveTransfer(const ActiveTransfer&) = delete;
    ActiveTransfer& operator=(const ActiveTransfer&) = delete;

    Micros expected() const { return m_expected; }
    void set_complete() { m_complete = true; }

private:
    InstanceState& m_state;
    const std::string m_store;
    const std::uint64_t m_bytes;
    const TimePoint m_began;
    Micros m_expected{0};
    bool m_complete = false;
};

ImportOrder
import_order(const CompletionCall& call, const KeptBlocks& kept,
             const RouteChoice& choice)
{
    ImportOrder order;
    order.account = call.account->name;
    order.model = call.model;
    order.version = call.version;
    order.adapter = call.adapter;
    order.store_address = kept.store;
    order.blocks.assign(
        kept.blocks.begin() + static_cast<std::ptrdiff_t>(choice.cached_blocks),
        kept.blocks.begin() + static_cast<std::ptrdiff_t>(choice.fetch_end));
    return order;
}

} // namespace

KeptBlocks
lookup_kept_blocks(InstanceState& state, const CompletionCall& call)
{
    KeptBlocks kept;
    if (call.keys.empty())
        return kept;
    const auto stores = state.directory.with([&](UpstreamDirectory& directory) {
        return directory.stores_for(call.keys.front().hex(), monotonic_now());
    });
    if (stores.empty())
        return kept;
    try {
        kept.blocks = state.clients.store(stores.front())->lookup(call.keys);
        check_lookup(call.keys, kept.blocks);
        kept.store = stores.front();
        state.directory.with([&](UpstreamDirectory& directory) {
            directory.succeeded(stores.front());
        });
    } catch (const Error& failure) {
        kept.blocks.clear();
        spdlog::debug("lookup at {}: {}", stores.front(), failure.what());
        state.directory.with([&](UpstreamDirectory& directory) {
            directory.failed(stores.front(), monotonic_now());
        });
    }
    return kept;
}

std::string
fetch_kept_blocks(InstanceState& state, const CompletionCall& call,
                  const KeptBlocks& kept, const RouteChoice& choice)
{
    if (choice.fetch_end <= choice.cached_blocks)
        return {};
    ImportOrder order = import_order(call, kept, choice);
    const std::uint64_t bytes = total_bytes(order.blocks);
    const auto engine = state.clients.engine(choice.engine);
    ++state.metrics.fetches;
    try {
        ActiveTransfer transfer(state, kept.store, bytes);
        order.give_up =
            std::max(transfer.expected() * max_delay_factor, min_fetch_timeout);
        const ImportResult read = engine->import(order);
        const auto sealed =
            state.clients.store(kept.store)->verify(order.blocks);
        if (!import_is_sound(order.blocks, read, sealed)) {
            ++state.metrics.fetches_unsound;
            engine->discard(read.staged_id);
            return {};
        }
        transfer.set_complete();
        state.metrics.fetched_bytes += bytes;
        return read.staged_id;
    } catch (const Error& failure) {
        ++state.metrics.fetches_failed;
        spdlog::debug("fetch from {}: {}", kept.store, failure.what());
        return {};
    }
}

} // namespace crosslink
