// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/membership/instance_info.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// Instances with a link below this neither keep the fleet's duty nor answer
/// many others, as long as there are better ones. Behind 10 Mbit/s a holder of
/// the duty was out of reach for most of 82 instances, and nine in ten prompts
/// were read whole for 12 s.
constexpr double strong_link_mbps = 50;
/// Instances that ask one other for news. Each of them asks about seven times
/// a second, and an answer takes 0.6 ms of a core (worked out): 16 of them take
/// 7% of a core.
constexpr std::size_t most_children = 16;

/// Who asks whom for news and load, so that no instance answers more than
/// about most_children others: a small fleet asks the holder of the duty; in a
/// larger one some instances of each zone ask the holder, and the others of
/// the zone ask these. Each instance works it out for itself from the list of
/// instances. Where their lists differ, some ask one that does not expect it,
/// which costs nothing but the age of what they learn.
class FleetTree
{
public:
    /// `instances` are all that are listed. `holder` is the address of the
    /// duty's holder; empty for none.
    FleetTree(std::span<const InstanceInfo> instances, std::string holder);

    /// Returns the addresses that the instance `name` of `zone` may ask, best
    /// first, without `own`, its own address.
    std::vector<std::string> parents(std::string_view name,
                                     std::string_view zone,
                                     std::string_view own) const;
    /// Returns whether `name` of `zone` is asked by others of its zone.
    bool is_parent(std::string_view name, std::string_view zone) const;

private:
    std::vector<InstanceInfo> zone_parents(std::string_view zone) const;

    std::vector<InstanceInfo> m_instances;
    std::string m_holder;
};

} // namespace crosslink
