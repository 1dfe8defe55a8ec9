// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/relay_selector.h>

#include <vector>

namespace crosslink
{

std::optional<InstanceInfo>
RelaySelector::choose(const Instances& instances, const InstanceInfo& own,
                      std::string_view runner, TimePoint now,
                      std::uint64_t random) const
{
    std::vector<const InstanceInfo*> near;
    std::vector<const InstanceInfo*> far;
    for (const auto& [name, instance] : instances) {
        if (name == own.name || instance.address == own.address ||
            is_paused(instance.address, {}, now) ||
            is_paused(instance.address, runner, now))
            continue;
        (instance.zone == own.zone ? near : far).push_back(&instance);
    }
    const auto& choice = near.empty() ? far : near;
    if (choice.empty())
        return std::nullopt;
    return *choice[random % choice.size()];
}

void
RelaySelector::failed(std::string_view address, TimePoint now)
{
    failed(address, {}, now);
}

void
RelaySelector::failed(std::string_view address, std::string_view runner,
                      TimePoint now)
{
    std::erase_if(m_paused_until,
                  [now](const auto& item) { return item.second <= now; });
    m_paused_until.insert_or_assign(
        Key(std::string(address), std::string(runner)), now + retry_pause);
}

bool
RelaySelector::is_paused(std::string_view address, std::string_view runner,
                         TimePoint now) const
{
    const auto found =
        m_paused_until.find(Key(std::string(address), std::string(runner)));
    return found != m_paused_until.end() && now < found->second;
}

} // namespace crosslink
