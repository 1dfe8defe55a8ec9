// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/digest.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// Location of a block in a store. A slot is reused after its block was freed;
/// its generation grows then. The incarnation changes when the store restarts
/// without any of its blocks.
struct BlockHandle {
    std::uint64_t slot = 0;
    std::uint64_t generation = 0;
    std::uint64_t incarnation = 0;

    bool operator==(const BlockHandle&) const = default;
};

/// A block that the store lists as sealed.
struct SealedBlock {
    Digest key;
    BlockHandle handle;
    Digest content;          ///< SHA-256 of the bytes, passed to seal().
    std::uint64_t bytes = 0; ///< Size of the KV data.
};

/// Returns the sum of the KV bytes of `blocks`.
inline std::uint64_t
total_bytes(std::span<const SealedBlock> blocks)
{
    std::uint64_t sum = 0;
    for (const SealedBlock& block : blocks)
        sum += block.bytes;
    return sum;
}

/// One store of kept KV blocks: memory and disk behind a limited link. Calls
/// throw Error with StoreUnavailable, StoreFull or BlockGone.
class Store
{
public:
    virtual ~Store() = default;

    /// Returns the sealed blocks among `keys`, in the order of `keys`, up to
    /// the first one that is missing.
    virtual std::vector<SealedBlock> lookup(std::span<const Digest> keys) = 0;
    /// Reserves room for a block that is about to be written. Returns
    /// std::nullopt if the store has it already or it is being written.
    virtual std::optional<BlockHandle>
    reserve(const Digest& key, std::string_view owner, std::uint64_t bytes) = 0;
    /// Seals a written block. Throws Error(BlockGone) if its reservation has
    /// ended.
    virtual void seal(const Digest& key, const BlockHandle& handle,
                      const Digest& content) = 0;
    /// Cancels a reservation; has no effect if it has ended already.
    virtual void abandon(const Digest& key, const BlockHandle& handle) = 0;
    /// Returns whether each block is still sealed under the same handle.
    virtual std::vector<bool> verify(std::span<const SealedBlock> blocks) = 0;
};

} // namespace crosslink
