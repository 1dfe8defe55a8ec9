// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/error.h>
#include <crosslink/base/json.h>
#include <crosslink/configuration/configuration_head.h>

#include <algorithm>

namespace crosslink
{

namespace
{

constexpr std::size_t max_history = 50;

Json::Value
change_to_json(const ConfigurationChange& change)
{
    Json::Value value;
    value["revision"] = Json::UInt64(change.revision);
    value["change_id"] = change.change_id;
    value["author"] = change.author;
    value["applied_at"] = Json::UInt64(change.applied_at);
    return value;
}

ConfigurationChange
change_from_json(const Json::Value& value)
{
    ConfigurationChange change;
    change.revision = json_uint64(value, "revision");
    change.change_id = json_string(value, "change_id");
    change.author = json_string(value, "author");
    change.applied_at = json_uint64(value, "applied_at");
    return change;
}

} // namespace

const ConfigurationChange*
ConfigurationHead::latest() const
{
    return history.empty() ? nullptr : &history.back();
}

bool
ConfigurationHead::has_change(std::string_view change_id) const
{
    return std::any_of(history.begin(), history.end(),
                       [change_id](const ConfigurationChange& change) {
                           return change.change_id == change_id;
                       });
}

ConfigurationHead
ConfigurationHead::next(std::map<std::string, Digest> new_parts,
                        ConfigurationChange change) const
{
    ConfigurationHead head;
    head.revision = revision + 1;
    head.parts = std::move(new_parts);
    head.history = history;
    change.revision = head.revision;
    head.history.push_back(std::move(change));
    if (head.history.size() > max_history)
        head.history.erase(head.history.begin());
    return head;
}

std::string
ConfigurationHead::to_json() const
{
    Json::Value value;
    value["revision"] = Json::UInt64(revision);
    value["parts"] = Json::Value(Json::objectValue);
    for (const auto& [name, digest] : parts)
        value["parts"][name] = digest.hex();
    value["history"] = json_list(history, change_to_json);
    return json_text(value);
}

ConfigurationHead
ConfigurationHead::from_json(std::string_view text)
{
    const Json::Value value = parse_json(text);
    ConfigurationHead head;
    head.revision = json_uint64(value, "revision");
    if (head.revision == 0 || !value["parts"].isObject())
        throw Error(ErrorCode::TemplateInvalid, "not a configuration head");
    for (const std::string& name : value["parts"].getMemberNames())
        head.parts[name] =
            Digest::from_hex(json_string(value["parts"], name.c_str()));
    head.history = list_from_json(value["history"], change_from_json);
    return head;
}

std::string
configuration_part_key(const Digest& digest)
{
    return std::string(configuration_part_prefix) + digest.hex();
}

} // namespace crosslink
