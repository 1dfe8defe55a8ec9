// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "instance_state.h"

#include "request_crashes.h"

#include <adapters/clock.h>

#include <crosslink/forward/runner_entry.h>
#include <crosslink/membership/rendezvous.h>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace crosslink
{

InstanceState::InstanceState(Settings settings_in, Member self)
    : settings(std::move(settings_in)), clients(settings),
      members(std::move(self), MembershipRules{}), routing(settings),
      answers(settings.kept_answer_bytes)
{
}

void
InstanceState::engine_ended(const std::string& address)
{
    const auto calls =
        unresolved_failures.with([&address](UnresolvedFailures& open) {
            return open.ended({address, 0}, monotonic_now());
        });
    record_process_ends(crashes, calls);
    for (const InterruptedCall& call : calls)
        spdlog::info("engine={} ended while running digest={}", address,
                     call.key);
}

std::vector<Member>
InstanceState::preferred_in_zone(std::string_view duty)
{
    std::vector<Member> result = members.with(
        [this](MemberTable& table) { return table.live_in(settings.zone); });
    std::sort(result.begin(), result.end(),
              [duty](const Member& one, const Member& other) {
                  return rendezvous_weight(duty, one.id) >
                         rendezvous_weight(duty, other.id);
              });
    return result;
}

bool
InstanceState::is_preferred_in_zone(std::string_view duty, std::size_t count)
{
    std::vector<Member> first = preferred_in_zone(duty);
    first.resize(std::min(first.size(), count));
    return std::any_of(first.begin(), first.end(),
                       [this](const Member& member) {
                           return member.address == self_address();
                       });
}

double
InstanceState::limit_share()
{
    const auto live =
        members.with([](MemberTable& table) { return table.live().size(); });
    return 1.0 / static_cast<double>(live);
}

bool
InstanceState::activate_if_newer(ConfigurationState::ConfigurationPtr candidate)
{
    const std::uint64_t revision = candidate->revision();
    if (!configuration.set_if_newer(std::move(candidate)))
        return false;
    members.with(
        [revision](MemberTable& table) { table.set_revision(revision); });
    gossip_now.wake();
    ++metrics.configuration_changes;
    spdlog::info("revision={} is in force", revision);
    return true;
}

} // namespace crosslink
