// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/fleet_tree.h>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace crosslink
{

/// Number of instances that may poll the same instance at a time: half as many
/// again as the tree plans for the busiest, for the children of parents that
/// failed.
constexpr std::size_t max_admitted_children = 3 * max_children_of_strong / 2;

/// Bounds how many instances poll this one. Instances whose parents all fail,
/// or that know no other parent yet, poll the holder of the duty; in a large
/// fleet that can be all of them, and none would get an answer in time. Those
/// beyond the bound are refused at once, and ask another instance or the
/// platform.
class ChildAdmission
{
public:
    /// Returns whether to answer `child`, which polls at `now`. A child that
    /// was admitted stays so until it has not polled for a second.
    bool admit(std::string_view child, TimePoint now);

private:
    /// When each admitted child polled last, by name.
    std::map<std::string, TimePoint, std::less<>> m_children;
};

} // namespace crosslink
