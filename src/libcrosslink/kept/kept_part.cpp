// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/number.h>
#include <crosslink/kept/kept_part.h>

#include <array>

namespace crosslink
{

namespace
{

constexpr char separator = '|';
/// Model, version and term; the isolated account is what remains.
constexpr std::size_t leading_fields = 3;

} // namespace

std::string
KeptSpace::text() const
{
    return model + separator + std::to_string(version) + separator +
           std::to_string(term) + separator + isolated_account;
}

std::optional<KeptSpace>
KeptSpace::parse(std::string_view text)
{
    std::array<std::string_view, leading_fields> fields;
    for (std::string_view& field : fields) {
        const std::size_t end = text.find(separator);
        if (end == std::string_view::npos)
            return std::nullopt;
        field = text.substr(0, end);
        text.remove_prefix(end + 1);
    }
    const auto version = parse_integer<std::uint64_t>(fields[1]);
    const auto term = parse_integer<std::uint64_t>(fields[2]);
    if (!version || !term)
        return std::nullopt;
    return KeptSpace{std::string(text), std::string(fields[0]), *version,
                     *term};
}

} // namespace crosslink
