// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "exchange.h"

#include <crosslink/base/json.h>

namespace crosslink
{

// JSON encoding of an exchange. A missing member decodes as 0, false or empty.
// Decoding throws Error(BadJson) for rows that lack a field.

/// Encodes what an instance tells its parent.
Json::Value to_json(const ExchangeRequest& request);
/// Decodes it.
ExchangeRequest exchange_request_from_json(const Json::Value& value);

/// Encodes what it learns in return.
Json::Value to_json(const ExchangeResponse& response);
/// Decodes it.
ExchangeResponse exchange_response_from_json(const Json::Value& value);

} // namespace crosslink
