// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/duty_lease.h>
#include <crosslink/membership/fencing_token.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace crosslink
{

namespace
{

TimePoint
at(std::int64_t millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

constexpr Micros span = std::chrono::seconds(2);

} // namespace

TEST_CASE("a holder stops well before its lease can expire")
{
    DutyLease lease(std::chrono::seconds(1));
    CHECK_FALSE(lease.held(at(0)));
    lease.granted(7, at(0), span);
    CHECK(lease.held(at(1299)));
    CHECK_FALSE(lease.held(at(1301)));
    CHECK(lease.token() == 7);
}

TEST_CASE(
    "a new holder waits before its first action, but not after extensions")
{
    DutyLease lease(std::chrono::seconds(1));
    lease.granted(7, at(0), span);
    CHECK_FALSE(lease.may_act(at(999)));
    lease.granted(7, at(900), span);
    CHECK(lease.may_act(at(1000)));
    lease.lost();
    CHECK_FALSE(lease.held(at(1001)));
    lease.granted(9, at(1100), span);
    CHECK_FALSE(lease.may_act(at(1200)));
}

TEST_CASE("the grace begins at the lease's end, whether it lapsed or was lost")
{
    constexpr Micros grace = std::chrono::seconds(8);
    DutyLease lease(std::chrono::seconds(1));
    CHECK_FALSE(lease.held_within(grace, at(0)));
    lease.granted(7, at(100), span);
    CHECK(lease.held_within(grace, at(1000)));
    lease.lost();
    CHECK(lease.held_within(grace, at(9399)));
    CHECK_FALSE(lease.held_within(grace, at(9401)));
}

TEST_CASE(
    "actions of two holders are apart after an expired or a released lease")
{
    constexpr Micros spacing = std::chrono::seconds(3);
    const Micros settle = DutyLease::takeover_delay(spacing, span);
    DutyLease earlier(settle);
    earlier.granted(7, at(0), span);
    DutyLease later(settle);
    TimePoint last_act{};
    TimePoint taken{};
    SECTION("lapsed")
    {
        last_act = at(1299);
        REQUIRE(earlier.held(last_act));
        taken = at(0) + span;
    }
    SECTION("given back")
    {
        last_act = at(500);
        earlier.lost();
        taken = last_act + DutyLease::safety_margin(span);
    }
    later.granted(9, taken, span);
    TimePoint now = taken;
    while (!later.may_act(now)) {
        now += std::chrono::milliseconds(10);
        later.granted(9, now, span);
    }
    CHECK(now - last_act >= spacing);
}

TEST_CASE("a process that takes its predecessor's lease waits for longer")
{
    DutyLease lease(std::chrono::seconds(1));
    lease.granted(7, at(0), span, LeaseOrigin::OwnEarlierProcess);
    CHECK(lease.held(at(100)));
    CHECK_FALSE(lease.may_act(at(1001)));
    lease.granted(7, at(1000), span);
    CHECK_FALSE(lease.may_act(at(1690)));
    CHECK(lease.may_act(at(1701)));
}

TEST_CASE(
    "a process whose predecessor could act waits for its last action only")
{
    DutyLease lease(std::chrono::seconds(1));
    lease.granted(7, at(0), span, LeaseOrigin::OwnActingProcess);
    CHECK_FALSE(lease.may_act(at(390)));
    CHECK(lease.may_act(at(400)));
    lease.granted(7, at(1000), span);
    CHECK(lease.may_act(at(1010)));
}

TEST_CASE("actions of two holders are never closer than the spacing")
{
    CHECK(rc::check("spacing", [] {
        constexpr std::int64_t spacing = 3000;
        const auto unused =
            static_cast<std::int64_t>(2000 * (1 - DutyLease::used_fraction));
        const Micros settle = std::chrono::milliseconds(spacing - unused);
        DutyLease first(settle);
        DutyLease second(settle);
        // The first holder extends its lease a few times and is then cut off or
        // frozen: the platform ends its lease one span after the last call that
        // arrived.
        std::int64_t now = 0;
        const auto extensions = *rc::gen::inRange(1, 6);
        for (int i = 0; i < extensions; ++i) {
            first.granted(1, at(now), span);
            now += *rc::gen::inRange<std::int64_t>(200, 900);
            if (!first.held(at(now)))
                break;
        }
        std::int64_t last_act = -1;
        for (std::int64_t t = 0; t < 20'000; t += 50)
            if (first.may_act(at(t)))
                last_act = t;
        const std::int64_t lapse = now + 2000;
        second.granted(2, at(lapse), span);
        std::int64_t first_act = -1;
        for (std::int64_t t = lapse; t < lapse + 8000 && first_act < 0;
             t += 50) {
            second.granted(2, at(t), span);
            if (second.may_act(at(t)))
                first_act = t;
        }
        RC_ASSERT(first_act >= 0);
        RC_ASSERT(last_act < 0 || first_act - last_act >= spacing);
    }));
}

TEST_CASE(
    "a holder in a restored store keeps apart from one that does not know")
{
    constexpr Micros spacing = std::chrono::seconds(3);
    const Micros settle = DutyLease::takeover_delay(spacing, span);
    DutyLease unaware(settle);
    unaware.granted(7, at(-5000), span);
    unaware.granted(7, at(0), span);
    const TimePoint last_act = at(1299);
    REQUIRE(unaware.may_act(last_act));
    DutyLease later(settle);
    TimePoint now = at(1);
    later.granted(9, now, span, LeaseOrigin::StoreRestored);
    while (!later.may_act(now)) {
        now += std::chrono::milliseconds(10);
        later.granted(9, now, span);
    }
    CHECK(now - last_act >= spacing);
}

TEST_CASE("a holder that held the duty all along acts on at once")
{
    DutyLease lease(std::chrono::seconds(1));
    lease.granted(7, at(0), span);
    lease.lost();
    CHECK_FALSE(lease.may_act(at(1100)));
    lease.granted(7, at(1200), span, LeaseOrigin::Continued);
    CHECK(lease.may_act(at(1201)));
}

TEST_CASE("tokens grow with the era first")
{
    constexpr std::uint64_t most_revision =
        (std::uint64_t{1} << token_revision_bits) - 1;
    CHECK(fencing_token({0, 41}) == 41);
    CHECK(fencing_token({1, 1}) > fencing_token({0, most_revision}));
    CHECK(fencing_token({2, 1}) > fencing_token({1, most_revision}));
    CHECK(fencing_token({2, 8}) > fencing_token({2, 7}));
}

} // namespace crosslink
