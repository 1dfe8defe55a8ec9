// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/duty_lease.h>
#include <crosslink/membership/lease_renewal.h>

#include <catch2/catch.hpp>

namespace crosslink
{

TEST_CASE("one try without an answer does not end the use of a lease")
{
    const Micros span = std::chrono::seconds(2);
    const LeaseRenewal renewal(span);
    DutyLease lease(Micros{0});
    TimePoint now{};
    lease.granted(1, now, span);
    now += renewal.pause() + renewal.attempt_timeout();
    CHECK(lease.held(now));
    // The next attempt takes as long and is answered just in time.
    now += renewal.retry_delay();
    const TimePoint requested_at = now;
    now += renewal.attempt_timeout();
    lease.granted(1, requested_at, span);
    CHECK(lease.held(now));
    CHECK(now - TimePoint{} <=
          Micros(static_cast<Micros::rep>(static_cast<double>(span.count()) *
                                          DutyLease::used_fraction)));
}

} // namespace crosslink
