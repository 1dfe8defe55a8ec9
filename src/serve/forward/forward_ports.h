// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

namespace crosslink
{

class CallWire;
class DutyRegistry;
class FleetFeed;
class KeptStores;
class BlockedRequestRegistry;
class RolloutRegistry;
class RunnerOrders;
class SoftwareRegistry;
class StreamRegistry;

/// The interfaces to the platform, the runners and the stores that an instance
/// which forwards calls uses. They must outlive the instance.
struct ForwardPorts {
    const CallWire& wire;
    FleetFeed& feed;
    DutyRegistry& duties;
    RolloutRegistry& rollouts;
    BlockedRequestRegistry& blocked;
    SoftwareRegistry& software;
    StreamRegistry& streams;
    RunnerOrders& orders;
    KeptStores& stores;
};

} // namespace crosslink
