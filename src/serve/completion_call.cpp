// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "completion_call.h"

#include <crosslink/base/error.h>

#include <algorithm>

namespace crosslink
{

namespace
{

constexpr std::uint64_t max_completion_tokens = 100'000;

[[noreturn]] void
reject(const std::string& what)
{
    throw Error(ErrorCode::BadRequest, what);
}

std::string
chat_prompt(const Json::Value& messages)
{
    if (!messages.isArray() || messages.empty())
        reject("\"messages\" must be a list of one message or more");
    std::string prompt;
    for (const Json::Value& message : messages) {
        const std::string role = json_string(message, "role");
        if (role.empty() || !message["content"].isString())
            reject("a message has \"role\" and \"content\", both texts");
        prompt += role + ": " + message["content"].asString() + "\n";
    }
    return prompt;
}

void
read_model(const ClientAccount& account, const std::string& name,
           CompletionCall& call)
{
    // An adapter is named after its model: "model:adapter".
    const auto colon = name.find(':');
    call.model = name.substr(0, colon);
    if (colon != std::string::npos)
        call.adapter = name.substr(colon + 1);
    const ModelGrant* grant = account.policy->grant_for(call.model);
    if (!grant)
        throw Error(ErrorCode::UnknownModel,
                    "this client account has no such model");
    const auto& adapters = grant->adapters;
    if (!call.adapter.empty() && std::find(adapters.begin(), adapters.end(),
                                           call.adapter) == adapters.end())
        throw Error(ErrorCode::UnknownModel,
                    "this client account has no such adapter");
    call.version = grant->version;
}

Json::Value
usage(std::uint32_t prompt_tokens, std::uint32_t cached_tokens,
      std::uint32_t tokens)
{
    Json::Value value;
    value["prompt_tokens"] = prompt_tokens;
    value["completion_tokens"] = tokens;
    value["total_tokens"] = prompt_tokens + tokens;
    value["prompt_tokens_details"]["cached_tokens"] = cached_tokens;
    return value;
}

} // namespace

CompletionCall
read_completion(const ClientAccount& account, std::string_view body, bool chat)
{
    const Json::Value value = parse_json(body);
    if (!value.isObject())
        reject("the body must be an object");
    CompletionCall call;
    call.account = &account;
    call.chat = chat;
    const std::string model = json_string(value, "model");
    if (model.empty())
        reject("\"model\" must name a model");
    read_model(account, model, call);
    if (chat) {
        call.prompt = chat_prompt(value["messages"]);
    } else {
        if (!value["prompt"].isString())
            reject("\"prompt\" must be a text");
        call.prompt = value["prompt"].asString();
    }
    const std::uint64_t tokens =
        json_uint64(value, "max_tokens", call.max_tokens);
    const Json::Value& given = value["max_tokens"];
    if ((!given.isNull() && !given.isUInt64()) || tokens == 0 ||
        tokens > max_completion_tokens)
        reject("\"max_tokens\" must be a whole number from 1 to 100000");
    call.max_tokens = static_cast<std::uint32_t>(tokens);
    call.stream = json_bool(value, "stream");
    call.caller = json_string(value, "user");
    return call;
}

CompletionAnswer::CompletionAnswer(const CompletionCall& call) : m_call(call)
{
}

Json::Value
CompletionAnswer::make_body(const char* kind) const
{
    Json::Value value;
    value["id"] = m_call.request_id;
    value["object"] = kind;
    value["model"] = m_call.model;
    value["choices"][0]["index"] = 0;
    value["choices"][0]["finish_reason"] = Json::Value();
    return value;
}

std::string
CompletionAnswer::token_event(std::string_view text) const
{
    const std::string token(text);
    Json::Value value =
        make_body(m_call.chat ? "chat.completion.chunk" : "text_completion");
    if (m_call.chat)
        value["choices"][0]["delta"]["content"] = token;
    else
        value["choices"][0]["text"] = token;
    return json_text(value);
}

std::string
CompletionAnswer::last_event(std::uint32_t prompt_tokens,
                             std::uint32_t cached_tokens,
                             std::uint32_t tokens) const
{
    Json::Value value =
        make_body(m_call.chat ? "chat.completion.chunk" : "text_completion");
    if (m_call.chat)
        value["choices"][0]["delta"] = Json::Value(Json::objectValue);
    else
        value["choices"][0]["text"] = "";
    value["choices"][0]["finish_reason"] = "length";
    value["usage"] = usage(prompt_tokens, cached_tokens, tokens);
    return json_text(value);
}

std::string
CompletionAnswer::body(const std::string& text, std::uint32_t prompt_tokens,
                       std::uint32_t cached_tokens, std::uint32_t tokens) const
{
    Json::Value value =
        make_body(m_call.chat ? "chat.completion" : "text_completion");
    if (m_call.chat) {
        value["choices"][0]["message"]["role"] = "assistant";
        value["choices"][0]["message"]["content"] = text;
    } else {
        value["choices"][0]["text"] = text;
    }
    value["choices"][0]["finish_reason"] = "length";
    value["usage"] = usage(prompt_tokens, cached_tokens, tokens);
    return json_text(value);
}

} // namespace crosslink
