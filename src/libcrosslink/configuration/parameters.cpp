// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "parameters.h"

#include <algorithm>

namespace crosslink::pvt
{

namespace
{

constexpr const char* parameter_key = "$parameter";

bool
in_range(const Json::Value& rule, const Json::Value& value)
{
    // jsoncpp orders numbers of different types by their type, so both are
    // compared as reals.
    if (!value.isNumeric())
        return false;
    if (rule.isMember("minimum") &&
        value.asDouble() < rule["minimum"].asDouble())
        return false;
    return !rule.isMember("maximum") ||
           value.asDouble() <= rule["maximum"].asDouble();
}

bool
is_listed(const Json::Value& rule, const Json::Value& value)
{
    const Json::Value& list = rule["one_of"];
    return std::any_of(
        list.begin(), list.end(),
        [&value](const Json::Value& item) { return item == value; });
}

/// Returns what is wrong with `value`, or an empty text.
std::string
error_of(const Json::Value& rule, const Json::Value& value)
{
    const bool has_range = rule.isMember("minimum") || rule.isMember("maximum");
    if (has_range && !in_range(rule, value))
        return "must be a number from " + json_text(rule["minimum"]) + " to " +
               json_text(rule["maximum"]);
    if (rule.isMember("one_of") && !is_listed(rule, value))
        return "must be one of " + json_text(rule["one_of"]);
    return {};
}

} // namespace

Json::Value
parameter_values(const Json::Value& declared, const Json::Value& given,
                 const ParameterReport& report)
{
    Json::Value values(Json::objectValue);
    if (declared.isObject()) {
        for (const std::string& name : declared.getMemberNames()) {
            const Json::Value& rule = declared[name];
            const bool is_given = given.isObject() && given.isMember(name);
            const Json::Value& value = is_given ? given[name] : rule["default"];
            if (value.isNull())
                report("parameters." + name, "has no value and no default");
            else if (const auto what = error_of(rule, value); !what.empty())
                report("parameters." + name, what);
            values[name] = value;
        }
    }
    if (given.isObject()) {
        for (const std::string& name : given.getMemberNames())
            if (!values.isMember(name))
                report("parameters." + name, "is not declared by the template");
    }
    return values;
}

Json::Value
fill_parameters(const Json::Value& body, const Json::Value& values,
                const ParameterReport& report)
{
    if (body.isObject() && body.isMember(parameter_key)) {
        const std::string name = json_string(body, parameter_key);
        if (values.isMember(name))
            return values[name];
        report("parameters." + name, "is used but not declared");
        return {};
    }
    Json::Value filled = body;
    if (body.isObject()) {
        for (const std::string& name : body.getMemberNames())
            filled[name] = fill_parameters(body[name], values, report);
    } else if (body.isArray()) {
        for (Json::ArrayIndex i = 0; i < body.size(); ++i)
            filled[i] = fill_parameters(body[i], values, report);
    }
    return filled;
}

} // namespace crosslink::pvt
