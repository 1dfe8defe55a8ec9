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

/// The head of a caller's request as it came in.
struct CallHead {
    std::string method;
    std::string target;
    std::string host;
    std::vector<HeaderField> headers;
};

/// What this instance adds to a call that it sends to a runner.
struct SendOptions {
    std::string runner;  ///< Any other runner must refuse the call.
    std::string account; ///< Empty where the route needs no key.
    Micros time_left{0}; ///< The runner stops work after it.
    std::optional<std::uint32_t> priority; ///< 0 is the most urgent.
    /// Weights that the call must run on; 0 for plain services.
    std::uint64_t version = 0;
    std::string space;             ///< Text of the kept space.
    std::vector<KeptPlace> places; ///< One for each shared part, or none.
    RunnerMillis fetch_until = 0;  ///< Fetches end by then; 0 for none.
    std::string after_event;       ///< The stream goes on after this event.
};

/// A call as it goes out to a runner.
struct OutgoingCall {
    std::string method;
    std::string target;
    std::vector<HeaderField> headers;
};

/// The head of a runner's answer, decoded.
struct AnswerHead {
    int status = 0;
    std::vector<HeaderField> headers; ///< Those that travel to the caller.
    bool not_run = false; ///< The runner's own word that it did not run.
    /// As not_run: it has other weights than the call asked for, or is another
    /// runner than the one that was meant.
    bool misdirected = false;
    bool has_signature = false; ///< It carries a runner's signature.
    std::string call_id;        ///< Of the call that it answers; may be empty.
    std::uint64_t version = 0;  ///< Weights that it is made on; 0: not told.
    /// Calls a second, at least 0, that the runner takes from all instances
    /// together; no_rate_limit where it names none; nothing where what it
    /// names can't be read.
    std::optional<double> rate_limit = no_rate_limit;
    /// The runner says that it will end; nothing where that can't be read.
    std::optional<bool> leaving = false;
    /// In this time the runner, which turned the call away, wants nothing from
    /// this instance; 0 where it does not say so; nothing where what it says
    /// can't be read.
    std::optional<Micros> backoff = Micros{0};
    std::string runner; ///< That answers, by its own word; empty: not told.
    bool event_stream = false;
    bool encoded = false; ///< The body is not as the runner made it.
    std::optional<Micros> keep_alive; ///< How long an idle connection lives.
};

/// The wire of callers and runners: names of headers and their forms.
class CallWire
{
public:
    virtual ~CallWire() = default;

    /// Decodes a caller's request without its body. Throws Error(BadRequest).
    virtual ForwardedCall decode_call(const CallHead& head) const = 0;
    /// Encodes a call for a runner.
    virtual OutgoingCall encode_call(const ForwardedCall& call,
                                     const SendOptions& terms) const = 0;
    /// Decodes the head of a runner's answer.
    virtual AnswerHead
    decode_answer(int status, std::span<const HeaderField> headers) const = 0;
};

} // namespace crosslink
