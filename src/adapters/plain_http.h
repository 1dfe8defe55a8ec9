// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "http_client.h"

#include <crosslink/ports/plain_service.h>

namespace crosslink
{

/// A plain service over HTTP. Each call has a connection of its own, so that
/// a kept connection that the service closes leaves no doubt whether the call
/// arrived. Safe for many threads.
class PlainHttp : public PlainService
{
public:
    PlainHttp(const std::string& address, HttpTimeouts timeouts);

    PlainAnswer call(const PlainCall& call) override;

private:
    HttpClient m_client;
};

} // namespace crosslink
