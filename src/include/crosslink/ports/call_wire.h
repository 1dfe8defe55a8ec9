// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/forward/forwarded_call.h>
#include <crosslink/forward/rate_limit.h>
#include <crosslink/kept/kept_part.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The head of a caller's request, as received.
struct CallHead {
    std::string method;
    std::string target;
    std::string host;
    std::vector<HeaderField> headers;
};

/// What this instance adds to a call that it sends to a runner.
struct SendOptions {
    std::string runner;  ///< Id of the runner; any other must refuse the call.
    std::string account; ///< Client account; empty if the route needs no key.
    Micros time_left{0}; ///< The runner stops working on the call after it.
    std::optional<std::uint32_t> priority; ///< 0 is the most urgent.
    /// Version of the weights that the call must run on; 0 for plain services.
    std::uint64_t version = 0;
    std::string space;             ///< KeptSpace::text() of its KV.
    std::vector<KeptPlace> places; ///< One per shared part, or empty.
    RunnerMillis fetch_until = 0;  ///< Deadline of fetches; 0: no fetches.
    /// Id of the last event received, after which the stream resumes; empty if
    /// none was received.
    std::string after_event;
};

/// A call encoded for a runner.
struct OutgoingCall {
    std::string method;
    std::string target;
    std::vector<HeaderField> headers;
};

/// The head of a runner's answer, decoded.
struct AnswerHead {
    int status = 0;
    std::vector<HeaderField> headers; ///< Those that are passed to the caller.
    bool not_run = false; ///< The runner states that it did not run the call.
    /// The runner did not run the call, because it has other weights than the
    /// call requires or is not the runner that the call was meant for. Implies
    /// not_run.
    bool misdirected = false;
    bool has_signature = false; ///< It carries a runner's signature.
    std::string call_id;        ///< Id of the answered call; may be empty.
    std::uint64_t version = 0;  ///< Weights that produced it; 0: not stated.
    /// Calls per second, at least 0, that the runner accepts from all instances
    /// together; no_rate_limit if it states no limit; std::nullopt if the
    /// stated limit can't be parsed.
    std::optional<double> rate_limit = no_rate_limit;
    /// Calls that the runner can refuse in a second for want of room; 0 if it
    /// states no such number; std::nullopt if it can't be parsed.
    std::optional<std::uint32_t> bearable_refusals = 0;
    /// Whether the runner states that it will end; std::nullopt if that can't
    /// be parsed.
    std::optional<bool> leaving = false;
    /// How long this instance must send nothing to the runner, which refused
    /// the call; 0 if the runner does not ask for a backoff; std::nullopt if
    /// its value can't be parsed.
    std::optional<Micros> backoff = Micros{0};
    std::string runner; ///< Id that the answering runner states; may be empty.
    bool event_stream = false;
    /// The body has a Content-Encoding: it is not as the runner made it.
    bool encoded = false;
    /// How long the runner keeps an idle connection open, if stated.
    std::optional<Micros> keep_alive;
};

/// The wire format that callers and runners use: header names and the syntax of
/// their values.
class CallWire
{
public:
    virtual ~CallWire() = default;

    /// Decodes the head of a caller's request. Throws Error(BadRequest).
    virtual ForwardedCall decode_call(const CallHead& head) const = 0;
    /// Encodes a call for a runner.
    virtual OutgoingCall encode_call(const ForwardedCall& call,
                                     const SendOptions& options) const = 0;
    /// Decodes the head of a runner's answer.
    virtual AnswerHead
    decode_answer(int status, std::span<const HeaderField> headers) const = 0;
    /// Returns the names of headers that stand at most once in a call or an
    /// answer, in addition to those of HTTP.
    virtual std::span<const std::string_view> single_headers() const = 0;
};

} // namespace crosslink
