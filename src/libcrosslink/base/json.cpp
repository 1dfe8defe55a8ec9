// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/error.h>
#include <crosslink/base/json.h>

#include <memory>

namespace crosslink
{

namespace
{

constexpr int max_depth = 64;

const Json::Value&
field(const Json::Value& object, const char* name)
{
    static const Json::Value absent;
    if (!object.isObject())
        return absent;
    return object.isMember(name) ? object[name] : absent;
}

} // namespace

Json::Value
parse_json(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = max_depth;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problems;
    bool parsed = false;
    try {
        parsed = reader->parse(text.data(), text.data() + text.size(), &value,
                               &problems);
    } catch (const Json::Exception& failure) {
        problems = failure.what();
    }
    if (!parsed)
        throw Error(ErrorCode::BadJson, "malformed JSON: " + problems);
    return value;
}

std::string
json_text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

std::string
json_pretty(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

std::string
json_string(const Json::Value& object, const char* name,
            const std::string& fallback)
{
    const Json::Value& value = field(object, name);
    return value.isString() ? value.asString() : fallback;
}

std::uint64_t
json_uint64(const Json::Value& object, const char* name, std::uint64_t fallback)
{
    const Json::Value& value = field(object, name);
    return value.isUInt64() ? value.asUInt64() : fallback;
}

Micros
json_micros(const Json::Value& object, const char* name)
{
    return Micros(static_cast<Micros::rep>(json_uint64(object, name)));
}

std::uint32_t
json_uint32(const Json::Value& object, const char* name, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(json_uint64(object, name, fallback));
}

double
json_double(const Json::Value& object, const char* name, double fallback)
{
    const Json::Value& value = field(object, name);
    return value.isNumeric() ? value.asDouble() : fallback;
}

bool
json_bool(const Json::Value& object, const char* name, bool fallback)
{
    const Json::Value& value = field(object, name);
    return value.isBool() ? value.asBool() : fallback;
}

std::vector<std::string>
strings_from_json(const Json::Value& list)
{
    return list_from_json(
        list, [](const Json::Value& item) { return item.asString(); });
}

} // namespace crosslink
