// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/kept/kept_history.h>

#include <cstddef>
#include <utility>

namespace crosslink
{

namespace
{

/// Number of changes that are retained. An instance asks for new ones several
/// times a second.
constexpr std::size_t max_changes = 2000;

} // namespace

void
KeptHistory::add(KeptEntry change)
{
    m_changes.push_back(std::move(change));
    ++m_place;
    if (m_changes.size() > max_changes)
        m_changes.pop_front();
}

std::optional<std::vector<KeptEntry>>
KeptHistory::since(std::uint64_t place) const
{
    const std::uint64_t first = m_place - m_changes.size();
    if (place < first || place > m_place)
        return std::nullopt;
    const auto begin =
        m_changes.begin() + static_cast<std::ptrdiff_t>(place - first);
    return std::vector<KeptEntry>(begin, m_changes.end());
}

} // namespace crosslink
