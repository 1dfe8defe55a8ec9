// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/instance_info.h>
#include <crosslink/membership/lease_origin.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace crosslink
{

/// A lease as the platform granted or extended it.
struct GrantedLease {
    std::uint64_t token = 0; ///< Grows with each new holder.
    Micros span{0}; ///< Counted from the arrival of the call at the platform.
    LeaseOrigin origin = LeaseOrigin::Free;
};

/// Leases on duties, and the registration of instances, at the platform. Calls
/// block. They throw Error with PlatformUnavailable, PlatformThrottled or
/// PlatformOutcomeUnknown.
class DutyRegistry
{
public:
    virtual ~DutyRegistry() = default;

    /// Acquires the lease of `duty` for this instance at `address`, or extends
    /// it if this instance holds it, within LeaseRenewal::attempt_timeout().
    /// Replaces the lease of an earlier process at this address, since that
    /// process has ended. Returns std::nullopt if another instance holds it,
    /// and once where the platform's store came back from a copy: this instance
    /// has to stop acting before it asks again.
    virtual std::optional<GrantedLease>
    hold(std::string_view duty, std::string_view address, Micros span) = 0;
    /// Releases the lease if this instance holds it.
    virtual void release(std::string_view duty) = 0;
    /// Records that no earlier holder of `duty`, whose lease may be gone since
    /// the store came back from a copy, can act any more. Until then, leases
    /// are granted as StoreRestored.
    virtual void record_settled(std::string_view duty) = 0;
    /// Records, for as long as the lease lasts, that this instance may act
    /// under `duty`. A later process at its address that takes the lease over
    /// gets it as OwnActingProcess.
    virtual void record_acting(std::string_view duty) = 0;
    /// Registers this instance, `own`, as present for `span`, or extends its
    /// registration.
    virtual void present(const InstanceInfo& own, Micros span) = 0;
};

} // namespace crosslink
