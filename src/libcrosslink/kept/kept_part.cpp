// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/kept_part.h>

#include <charconv>

namespace crosslink
{

namespace
{

constexpr char separator = '|';

} // namespace

std::string
KeptSpace::text() const
{
    return model + separator + std::to_string(version) + separator + wall;
}

std::optional<KeptSpace>
KeptSpace::parse(std::string_view text)
{
    const std::size_t first = text.find(separator);
    if (first == std::string_view::npos)
        return std::nullopt;
    const std::size_t second = text.find(separator, first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    KeptSpace space;
    space.model = text.substr(0, first);
    space.wall = text.substr(second + 1);
    const auto result = std::from_chars(text.data() + first + 1,
                                        text.data() + second, space.version);
    if (result.ec != std::errc() || result.ptr != text.data() + second)
        return std::nullopt;
    return space;
}

} // namespace crosslink
