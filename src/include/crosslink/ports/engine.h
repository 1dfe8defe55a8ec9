// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/digest.h>
#include <crosslink/base/time.h>
#include <crosslink/ports/store.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// A run, as submitted to a model engine.
struct EngineRun {
    std::string run_id; ///< Unique for each attempt.
    std::string account;
    std::string model;
    std::string version; ///< Weight version the run must use.
    std::string adapter; ///< Empty for none.
    std::string prompt;
    std::uint32_t max_tokens = 16;
    std::uint32_t priority = 5;
    std::vector<Digest> block_keys;     ///< Keys of the prompt's blocks.
    std::string continued_text;         ///< Output the caller already has.
    std::uint32_t continued_tokens = 0; ///< Tokens in continued_text.
};

/// One frame of a run's answer.
struct EngineFrame {
    std::string run_id;
    std::uint32_t index = 0; ///< Position of the token in the whole answer.
    std::string text;
    std::string version; ///< Weight version that produced the token.
    bool last = false;   ///< The answer is complete with this frame.
    std::uint32_t prompt_tokens = 0; ///< On the last frame.
    std::uint32_t cached_tokens = 0; ///< Prompt tokens that were not computed.
};

/// Whether the receiver of a frame wants further frames.
enum class FrameVerdict { Continue, Stop };

/// Receives the frames of one run, in the order in which they arrive.
using FrameSink = std::function<FrameVerdict(const EngineFrame& frame)>;

/// A model version that an engine has in memory, with its adapters.
struct ResidentModel {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
};

/// An engine's report of its load. It lags behind the actual load.
struct EngineLoad {
    std::string engine_id;
    std::vector<ResidentModel> resident;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t waiting_tokens = 0; ///< Prompt tokens not computed yet.
    double prefill_tokens_per_second = 0;
    double import_bytes_per_second = 0;
    std::uint64_t block_bytes = 0; ///< KV bytes of one block.
    std::uint32_t slots = 1;       ///< Runs that decode at the same time.
    bool leaving = false;          ///< The engine states that it will end.
    std::uint64_t last_event = 0;  ///< Sequence number of its newest event.
};

/// One change of an engine's prefix cache. Events arrive late and with gaps.
struct CacheEvent {
    std::uint64_t sequence = 0; ///< Grows by one; a larger step is a gap.
    Digest key;
    bool stored = false; ///< False: dropped from memory.
};

/// Result of an import: blocks that the engine read and staged, but does not
/// use yet.
struct ImportResult {
    std::string staged_id;
    std::vector<Digest> contents; ///< SHA-256 of each block as read.
};

/// An order to an engine to read blocks from a store.
struct ImportOrder {
    std::string account;
    std::string model;
    std::string version;
    std::string adapter;
    std::string store_address;
    std::vector<SealedBlock> blocks;
    Micros give_up = std::chrono::seconds(5); ///< Time limit of the import.
};

/// A block that an engine is to write into a store.
struct ExportBlock {
    Digest key;
    BlockHandle handle;
};

/// An order that changes an engine's role or its loaded models, under a fencing
/// token.
struct EngineOrder {
    std::string action; ///< "load", "unload" or "role".
    std::string model;
    std::string version;
    std::string adapter;
    std::uint64_t fencing_token = 0;
};

/// One model engine. Calls block. They throw Error, whose run_state() says
/// whether the run may have been executed.
class Engine
{
public:
    virtual ~Engine() = default;

    /// Starts `run` with the imported blocks of `staged_id`, and passes its
    /// frames to `sink` until the last frame or until `sink` returns Stop.
    /// Throws if the answer ends before its last frame.
    virtual void run(const EngineRun& run, std::string_view staged_id,
                     const FrameSink& sink) = 0;
    /// Resumes an interrupted stream at token `from`.
    virtual void resume(std::string_view run_id, std::uint32_t from,
                        const FrameSink& sink) = 0;
    /// Cancels a run. Has no effect if the engine does not know it.
    virtual void cancel(std::string_view run_id) = 0;
    /// Reads blocks from a store and stages them for a run.
    virtual ImportResult import(const ImportOrder& order) = 0;
    /// Drops staged blocks that no run will use.
    virtual void discard(std::string_view staged_id) = 0;
    /// Writes blocks of its prefix cache into a store. Returns the SHA-256 of
    /// each as written; the result is shorter if a block was gone.
    virtual std::vector<Digest>
    export_blocks(std::string_view store_address,
                  std::span<const ExportBlock> blocks) = 0;
    /// Returns the latest load report.
    virtual EngineLoad load() = 0;
    /// Returns the cache events after `sequence`.
    virtual std::vector<CacheEvent> events_after(std::uint64_t sequence) = 0;
    /// Returns the keys in its prefix cache; needed after a gap in the events.
    virtual std::vector<Digest> cached_keys() = 0;
    /// Sends an order. Throws Error(LeaseLost) if its fencing token is too old.
    virtual void order(const EngineOrder& order) = 0;
};

} // namespace crosslink
