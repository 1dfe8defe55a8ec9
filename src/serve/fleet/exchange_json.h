// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "exchange.h"

#include <crosslink/base/json.h>

namespace crosslink
{

// JSON encoding of an exchange. A missing member decodes as 0, false or empty.
// Decoding throws Error(BadJson) for rows that lack a field.

Json::Value to_json(const ExchangeRequest& request);
ExchangeRequest exchange_request_from_json(const Json::Value& value);

Json::Value to_json(const ExchangeResponse& response);
ExchangeResponse exchange_response_from_json(const Json::Value& value);

} // namespace crosslink
