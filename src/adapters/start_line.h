// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace crosslink
{

/// A version of HTTP as a message names it (RFC 9112, 2.3).
struct HttpVersion {
    int major = 0;
    int minor = 0;

    /// Returns the version that `text` names; nothing where it names none.
    static std::optional<HttpVersion> parse(std::string_view text);
    /// Returns whether messages of the version are read as those of HTTP/1.0 or
    /// HTTP/1.1 are (RFC 9110, 2.5).
    bool is_supported() const { return major == 1; }
    /// Returns the name of the version that a supported one is read as.
    const std::string& read_as() const;
};

/// The first line of a request (RFC 9112, 3).
struct RequestLine {
    std::string method;
    std::string target;
    HttpVersion version;

    /// Nothing where `line` is malformed.
    static std::optional<RequestLine> parse(std::string_view line);
};

/// The first line of a response (RFC 9112, 4).
struct StatusLine {
    HttpVersion version;
    int status = 0;
    std::string reason; ///< May be empty.

    /// Nothing where `line` is malformed.
    static std::optional<StatusLine> parse(std::string_view line);
};

} // namespace crosslink
