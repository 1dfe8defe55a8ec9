// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "http_client.h"

#include <crosslink/ports/engine.h>

namespace crosslink
{

/// A model engine over HTTP: runs answer as server-sent events, the rest as
/// JSON. Safe for many threads.
class EngineHttp : public Engine
{
public:
    /// `run_timeouts` hold for runs, `call_timeouts` for the short calls.
    EngineHttp(const std::string& address, HttpTimeouts run_timeouts,
               HttpTimeouts call_timeouts);

    void run(const EngineRun& run, std::string_view staged_id,
             const FrameSink& sink) override;
    void resume(std::string_view run_id, std::uint32_t from,
                const FrameSink& sink) override;
    void cancel(std::string_view run_id) override;
    ImportResult import(const ImportOrder& order) override;
    void discard(std::string_view staged_id) override;
    std::vector<Digest>
    export_blocks(std::string_view store_address,
                  std::span<const ExportBlock> blocks) override;
    EngineLoad load() override;
    std::vector<CacheEvent> events_after(std::uint64_t sequence) override;
    std::vector<Digest> cached_keys() override;
    void order(const EngineOrder& order) override;

private:
    void stream(std::string_view path, const Json::Value& body,
                const FrameSink& sink);

    HttpClient m_runs;
    HttpClient m_calls;
    HttpClient m_transfers; ///< Imports and exports take as long as a run.
};

} // namespace crosslink
