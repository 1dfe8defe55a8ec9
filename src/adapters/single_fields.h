// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/ports/plain_service.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// Names of the fields that stand at most once in a head (RFC 9110, 5.3). One
/// that stands twice would be read by each side as it likes.
class SingleFields
{
public:
    /// Those of HTTP on which the handling of a message depends.
    SingleFields();

    void add(std::span<const std::string_view> names);
    /// Those of HTTP only; for as long as the process lives.
    static const SingleFields& of_http();
    /// Returns the name of a field of which there are several among `fields`;
    /// nothing if there is none.
    std::optional<std::string>
    repeated_in(const std::vector<HeaderField>& fields) const;

private:
    void add(std::string_view name);

    std::vector<std::string> m_names; ///< In lower case, sorted.
};

} // namespace crosslink
