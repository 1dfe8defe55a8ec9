// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "instance_state.h"

#include <spdlog/spdlog.h>

namespace crosslink
{

InstanceState::InstanceState(Settings settings_in, Member self)
    : settings(std::move(settings_in)), clients(settings),
      members(std::move(self), MembershipRules{}), routing(settings),
      answers(settings.kept_answer_bytes)
{
}

double
InstanceState::limit_share()
{
    const auto live =
        members.with([](MemberTable& table) { return table.live().size(); });
    return 1.0 / static_cast<double>(live);
}

bool
InstanceState::put_in_force(ConfigurationState::Held candidate)
{
    const std::uint64_t revision = candidate->revision();
    if (!configuration.offer(std::move(candidate)))
        return false;
    members.with(
        [revision](MemberTable& table) { table.set_revision(revision); });
    gossip_now.nudge();
    ++metrics.configuration_changes;
    spdlog::info("revision={} is in force", revision);
    return true;
}

} // namespace crosslink
