// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>

#include <functional>
#include <string>

namespace crosslink::pvt
{

using ParameterReport =
    std::function<void(const std::string& field, const std::string& what)>;

/// Returns the values of the parameters that a template declares: the
/// account's own ones, else the defaults. Each declaration has `default` and,
/// for numbers, `minimum` and `maximum`; for texts, `one_of`. Mistakes go to
/// `report`.
Json::Value parameter_values(const Json::Value& declared,
                             const Json::Value& given,
                             const ParameterReport& report);

/// Returns `body` with each {"$parameter": "name"} replaced by its value.
Json::Value fill_parameters(const Json::Value& body, const Json::Value& values,
                            const ParameterReport& report);

} // namespace crosslink::pvt
