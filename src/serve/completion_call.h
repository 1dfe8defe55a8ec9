// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/digest.h>
#include <crosslink/base/json.h>
#include <crosslink/base/time.h>
#include <crosslink/configuration/client_account.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// A completion request, checked against the caller's account.
struct CompletionCall {
    const ClientAccount* account = nullptr;
    std::string request_id;
    TimePoint received_at; ///< When the caller's request arrived.
    std::string model;
    std::string version; ///< Weight version from the template.
    std::string adapter;
    std::string prompt;
    std::uint32_t max_tokens = 16;
    bool stream = false;
    bool chat = false;
    bool repeatable = true;   ///< False: the call must run at most once.
    std::string caller;       ///< User of the account, for the traffic split.
    std::vector<Digest> keys; ///< Keys of the full blocks of the prompt.
    std::uint64_t prompt_tokens = 0;
};

/// Reads the body of a completion or a chat completion. Throws Error with
/// BadJson, BadRequest or UnknownModel.
CompletionCall read_completion(const ClientAccount& account,
                               std::string_view body, bool chat);

/// Builds the JSON of an answer in the format of the usual completions API.
class CompletionAnswer
{
public:
    /// `call` must outlive this object.
    explicit CompletionAnswer(const CompletionCall& call);

    /// Returns the event of one token.
    std::string token_event(std::string_view text) const;
    /// Returns the last event, with the token usage.
    std::string last_event(std::uint32_t prompt_tokens,
                           std::uint32_t cached_tokens,
                           std::uint32_t tokens) const;
    /// Returns the body of an answer that is not streamed.
    std::string body(const std::string& text, std::uint32_t prompt_tokens,
                     std::uint32_t cached_tokens, std::uint32_t tokens) const;

private:
    Json::Value make_body(const char* kind) const;

    const CompletionCall& m_call;
};

} // namespace crosslink
