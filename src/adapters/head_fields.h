// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/ports/plain_service.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// The parts of the head of an HTTP message (RFC 9112) as they came in: nothing
/// is decoded.
class HeadFields
{
public:
    /// Returns the parts of `head`, all its bytes with the empty line at its
    /// end. Nothing where it is malformed: a line that doesn't end with CR LF,
    /// a field whose name is no token, a folded value, or a control byte.
    static std::optional<HeadFields> parse(std::string_view head);
    /// Returns whether `name` is a token (RFC 9110, 5.6.2).
    static bool is_token(std::string_view name);
    /// Returns whether `value` holds no control byte but tabs.
    static bool is_text(std::string_view value);
    /// Returns whether `value` can be that of Host (RFC 9110, 7.2).
    static bool is_host(std::string_view value);
    /// Returns whether `field` can be part of a head.
    static bool is_valid(const HeaderField& field);

    const std::string& start_line() const { return m_start_line; }
    /// In their order; values are without the white space around them.
    const std::vector<HeaderField>& fields() const { return m_fields; }

private:
    bool add(std::string_view line);

    std::string m_start_line;
    std::vector<HeaderField> m_fields;
};

} // namespace crosslink
