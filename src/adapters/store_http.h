// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "http_client.h"

#include <crosslink/ports/store.h>

namespace crosslink
{

/// A store of kept KV over HTTP and JSON. Safe for many threads.
class StoreHttp : public Store
{
public:
    StoreHttp(const std::string& address, HttpTimeouts timeouts);

    std::vector<SealedBlock> lookup(std::span<const Digest> keys) override;
    std::optional<BlockHandle> reserve(const Digest& key,
                                       std::string_view owner,
                                       std::uint64_t bytes) override;
    void seal(const Digest& key, const BlockHandle& handle,
              const Digest& content) override;
    void abandon(const Digest& key, const BlockHandle& handle) override;
    std::vector<bool> verify(std::span<const SealedBlock> blocks) override;

private:
    Json::Value ask(std::string_view path, const Json::Value& body,
                    ErrorCode on_refusal);

    HttpClient m_client;
};

} // namespace crosslink
