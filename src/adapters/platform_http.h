// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "http_client.h"

#include <crosslink/ports/platform.h>

namespace crosslink
{

/// The platform's service over HTTP and JSON. Safe for many threads.
class PlatformHttp : public Platform
{
public:
    PlatformHttp(const std::string& address, HttpTimeouts timeouts);

    std::optional<PlatformRecord> read(std::string_view key) override;
    std::vector<NamedRecord> list(std::string_view prefix) override;
    SwapOutcome write_if(std::string_view key, std::string_view value,
                         std::uint64_t expected) override;
    SwapOutcome remove_if(std::string_view key,
                          std::uint64_t expected) override;
    std::optional<PlatformRecord>
    watch(std::string_view key, std::uint64_t seen, Micros wait) override;
    std::optional<PlatformLease> take_lease(std::string_view name,
                                            std::string_view holder,
                                            Micros time_to_live) override;
    void release_lease(std::string_view name, std::uint64_t token) override;
    std::vector<ListedInstance> instances() override;
    void announce(const ListedInstance& self) override;

    /// Number of calls made so far, for the budget of the whole fleet.
    std::uint64_t calls() const { return m_calls; }

private:
    Json::Value ask(std::string_view path, const Json::Value& body,
                    bool changes);

    HttpClient m_client;
    std::atomic<std::uint64_t> m_calls{0};
};

} // namespace crosslink
