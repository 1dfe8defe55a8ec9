// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/number.h>
#include <crosslink/kept/kept_part.h>

#include <algorithm>
#include <array>

namespace crosslink
{

namespace
{

constexpr char separator = '|';
/// Model, version and term; the isolated account is what remains.
constexpr std::size_t leading_fields = 3;
/// Stands before each zone, after the term. Instances that know no zones here
/// cannot parse such a space, and leave its parts alone.
constexpr char zone_mark = '@';

/// Parses "TERM" or "TERM@ZONE@ZONE.." into `space`. Returns whether the term
/// is a number.
bool
parse_term(std::string_view field, KeptSpace& space)
{
    const std::size_t end = std::min(field.find(zone_mark), field.size());
    const auto term = parse_integer<std::uint64_t>(field.substr(0, end));
    if (!term)
        return false;
    space.term = *term;
    field.remove_prefix(end);
    while (!field.empty()) {
        field.remove_prefix(1);
        const std::size_t next = std::min(field.find(zone_mark), field.size());
        space.zones.emplace(field.substr(0, next));
        field.remove_prefix(next);
    }
    return true;
}

} // namespace

std::string
KeptSpace::text() const
{
    std::string text = model + separator + std::to_string(version) + separator +
                       std::to_string(term);
    for (const std::string& zone : zones)
        text += zone_mark + zone;
    return text + separator + isolated_account;
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
    KeptSpace space;
    if (!version || !parse_term(fields[2], space))
        return std::nullopt;
    space.isolated_account = text;
    space.model = fields[0];
    space.version = *version;
    return space;
}

} // namespace crosslink
