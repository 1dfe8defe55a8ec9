// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// A header that is passed through.
struct HeaderField {
    std::string name;
    std::string value;
};

/// A call to a plain service, as the caller made it.
struct PlainCall {
    std::string method;
    std::string path; ///< Includes the query.
    std::vector<HeaderField> headers;
    std::string body;
};

/// The whole answer of a plain service.
struct PlainAnswer {
    int status = 0;
    std::string content_type;
    std::string body;
    /// The service states that it did not run the call: 429 or 503 with
    /// Retry-After (RFC 9110, 10.2.3). A 503 without Retry-After does not state
    /// this.
    bool refused_before_run = false;
    /// The time in Retry-After, for which this instance must send nothing to
    /// the service; 0 if it can't be parsed.
    Micros backoff{0};
};

/// One instance of a plain service. Calls throw Error, whose run_state() says
/// whether the call may have been executed.
class PlainService
{
public:
    virtual ~PlainService() = default;
    /// Makes the call once; never repeats it by itself.
    virtual PlainAnswer call(const PlainCall& call) = 0;
};

} // namespace crosslink
