// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "single_fields.h"

#include <Poco/String.h>

#include <algorithm>
#include <array>

namespace crosslink
{

namespace
{

constexpr std::array<std::string_view, 7> http_names{
    "Authorization",   "Content-Length", "Content-Type", "Host",
    "Idempotency-Key", "Last-Event-Id",  "Retry-After"};

} // namespace

SingleFields::SingleFields()
{
    add(http_names);
}

const SingleFields&
SingleFields::of_http()
{
    static const SingleFields fields;
    return fields;
}

void
SingleFields::add(std::span<const std::string_view> names)
{
    for (const std::string_view name : names)
        add(name);
}

void
SingleFields::add(std::string_view name)
{
    const std::string lower = Poco::toLower(std::string(name));
    const auto at = std::lower_bound(m_names.begin(), m_names.end(), lower);
    if (at == m_names.end() || *at != lower)
        m_names.insert(at, lower);
}

std::optional<std::string>
SingleFields::repeated_in(const std::vector<HeaderField>& fields) const
{
    std::vector<bool> found(m_names.size());
    for (const HeaderField& field : fields) {
        const std::string name = Poco::toLower(field.name);
        const auto at = std::lower_bound(m_names.begin(), m_names.end(), name);
        if (at == m_names.end() || *at != name)
            continue;
        const auto index = static_cast<std::size_t>(at - m_names.begin());
        if (found[index])
            return field.name;
        found[index] = true;
    }
    return std::nullopt;
}

} // namespace crosslink
