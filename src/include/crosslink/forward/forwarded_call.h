// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/ports/plain_service.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace crosslink
{

/// One part of a prompt. Parts with the same id have the same content, so
/// their KV can be shared.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;

    bool operator==(const PromptPart&) const = default;
};

/// What routing needs to know of a call to a model engine.
struct Generation {
    std::string model;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t most_tokens = 0; ///< Maximum number of generated tokens.
    /// In order; the last one belongs to the caller's session alone.
    std::vector<PromptPart> parts;

    /// Returns the tokens of KV memory that the call is certain to need. The
    /// tokens that it generates come later, and only their upper bound is
    /// known, which may be far too high: if it were counted, idle runners would
    /// seem full.
    std::uint64_t resident_tokens() const { return prompt_tokens; }
    /// Returns the parts that other calls may share.
    std::span<const PromptPart> shared_parts() const
    {
        const std::size_t own = parts.empty() ? 0 : 1;
        return std::span(parts).first(parts.size() - own);
    }
};

/// A call that is forwarded without inspecting its body.
struct ForwardedCall {
    std::string id; ///< Set by the caller; unique for each attempt.
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    std::string api_key;
    /// Headers that are forwarded with the call, in the caller's order.
    std::vector<HeaderField> headers;
    std::string body;
    Micros time_allowed{0}; ///< How long the caller waits, from received_at on.
    TimePoint received_at{};
    std::optional<Generation> generation;
    /// Number of the last event that the caller received of a broken stream.
    std::string last_event;
    /// Id of the attempt that brought the first event of that stream; empty if
    /// it is not told.
    std::string resumes;

    /// Returns the path without the query.
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

} // namespace crosslink
