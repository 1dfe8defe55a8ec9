// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "../testing/fake_platform.h"

#include <crosslink/claim/claim_committer.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <catch2/trompeloeil.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

namespace crosslink
{

namespace
{

/// A mock platform, which checks each call against the expected ones.
class MockPlatform : public Platform
{
public:
    MAKE_MOCK1(read, std::optional<PlatformRecord>(std::string_view), override);
    MAKE_MOCK1(list, std::vector<NamedRecord>(std::string_view), override);
    MAKE_MOCK3(write_if,
               SwapOutcome(std::string_view, std::string_view, std::uint64_t),
               override);
    MAKE_MOCK2(remove_if, SwapOutcome(std::string_view, std::uint64_t),
               override);
    MAKE_MOCK3(watch,
               std::optional<PlatformRecord>(std::string_view, std::uint64_t,
                                             Micros),
               override);
    MAKE_MOCK3(take_lease,
               std::optional<PlatformLease>(std::string_view, std::string_view,
                                            Micros),
               override);
    MAKE_MOCK2(release_lease, void(std::string_view, std::uint64_t), override);
    MAKE_MOCK0(instances, std::vector<ListedInstance>(), override);
    MAKE_MOCK1(announce, void(const ListedInstance&), override);
};

using testing::FakePlatform;
using testing::Fate;

constexpr UnixMillis start = 1'000'000;
constexpr UnixMillis age_limit = 10'000;

Claim
make_claim(const std::string& key, const std::string& id,
           UnixMillis key_time = start)
{
    return {sha256(key), id, "holder-" + id, key_time};
}

ClaimVerdict::Kind
decide(ClaimCommitter& committer, const Claim& claim, UnixMillis now = start)
{
    return committer.commit(claim_slice_of(claim.key), {&claim, 1}, {}, now)
        .front()
        .kind;
}

/// Committers that share one platform. Each step may be interrupted in the
/// middle of a platform call while others run, and calls end with random
/// results.
class RandomFleet
{
public:
    static constexpr int instances = 3;
    static constexpr int keys = 4;

    RandomFleet()
    {
        for (int i = 0; i < instances; ++i)
            restart(i);
        m_platform.before_call = [this] { interrupt(); };
        m_platform.next_fate = [this] { return fate(); };
    }

    /// One request of a caller for a random key, possibly a retry of an earlier
    /// one.
    void request()
    {
        const int key = *rc::gen::inRange(0, keys);
        const UnixMillis age =
            *rc::gen::element<UnixMillis>(0, 0, 0, 9000, 15'000);
        Claim claim = make_claim("key" + std::to_string(key),
                                 "id" + std::to_string(++m_ids), m_now - age);
        // The time of a key never changes.
        claim.key_time =
            m_key_times.try_emplace(key, claim.key_time).first->second;
        // The preferred instance may commit the claim while its answer is lost;
        // the same claim is then decided again by another instance.
        if (*rc::gen::inRange(0, 4) == 0)
            request_claim(*rc::gen::inRange(0, instances), claim);
        if (request_claim(*rc::gen::inRange(0, instances), claim))
            dispatch_or_release(key, claim);
    }

    void random_step()
    {
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            m_platform.deliver_delayed();
            break;
        case 1:
            restart(*rc::gen::inRange(0, instances));
            break;
        case 2:
            m_now += *rc::gen::element<UnixMillis>(1, 1000, 20'000);
            break;
        default:
            request();
        }
    }

    int max_runs_per_key() const
    {
        int most = 0;
        for (const auto& [key, runs] : m_runs)
            most = std::max(most, runs);
        return most;
    }
    int runs() const
    {
        int sum = 0;
        for (const auto& [key, count] : m_runs)
            sum += count;
        return sum;
    }

private:
    void restart(int number)
    {
        if (!m_busy.contains(number))
            m_committers[number] =
                std::make_unique<ClaimCommitter>(m_platform, age_limit);
    }

    /// Returns whether the verdict was Granted and arrived.
    bool request_claim(int number, const Claim& claim)
    {
        if (!m_busy.insert(number).second)
            return false;
        bool granted = false;
        try {
            granted = decide(*m_committers[number], claim, m_now) ==
                      ClaimVerdict::Kind::Granted;
        } catch (const Error& failure) {
            RC_ASSERT(failure.code() == ErrorCode::ClaimUnavailable);
        }
        m_busy.erase(number);
        return granted;
    }

    void dispatch_or_release(int key, const Claim& claim)
    {
        if (*rc::gen::inRange(0, 4) != 0) {
            ++m_runs[key];
            return;
        }
        const int number = *rc::gen::inRange(0, instances);
        if (!m_busy.insert(number).second)
            return;
        try {
            const std::string id = claim.id;
            m_committers[number]->commit(claim_slice_of(claim.key), {},
                                         {&id, 1}, m_now);
        } catch (const Error& failure) {
            RC_ASSERT(failure.code() == ErrorCode::ClaimUnavailable);
        }
        m_busy.erase(number);
    }

    void interrupt()
    {
        constexpr int max_depth = 2;
        if (m_depth >= max_depth || *rc::gen::inRange(0, 3) != 0)
            return;
        ++m_depth;
        random_step();
        --m_depth;
    }

    Fate fate()
    {
        return *rc::gen::weightedElement<Fate>({{12, Fate::Answer},
                                                {1, Fate::Refuse},
                                                {1, Fate::LoseRequest},
                                                {2, Fate::LoseAnswer},
                                                {2, Fate::DelayPastAnswer}});
    }

    FakePlatform m_platform;
    std::map<int, std::unique_ptr<ClaimCommitter>> m_committers;
    std::set<int> m_busy;
    std::map<int, UnixMillis> m_key_times;
    std::map<int, int> m_runs;
    UnixMillis m_now = start;
    int m_ids = 0;
    int m_depth = 0;
};

} // namespace

TEST_CASE("a key is granted to the first claim only")
{
    FakePlatform platform;
    ClaimCommitter one(platform, age_limit);
    ClaimCommitter other(platform, age_limit);
    CHECK(decide(one, make_claim("k", "a")) == ClaimVerdict::Kind::Granted);
    CHECK(decide(one, make_claim("k", "a")) == ClaimVerdict::Kind::Granted);
    CHECK(decide(one, make_claim("k", "b")) == ClaimVerdict::Kind::Held);
    CHECK(decide(other, make_claim("k", "c")) == ClaimVerdict::Kind::Held);
}

TEST_CASE("a key that is known to be held costs the platform nothing")
{
    MockPlatform platform;
    ClaimCommitter committer(platform, age_limit);
    {
        REQUIRE_CALL(platform, read(trompeloeil::_)).RETURN(std::nullopt);
        REQUIRE_CALL(platform, write_if(trompeloeil::_, trompeloeil::_, 0U))
            .RETURN(SwapOutcome{true, 1});
        CHECK(decide(committer, make_claim("k", "a")) ==
              ClaimVerdict::Kind::Granted);
    }
    FORBID_CALL(platform, read(trompeloeil::_));
    FORBID_CALL(platform,
                write_if(trompeloeil::_, trompeloeil::_, trompeloeil::_));
    CHECK(decide(committer, make_claim("k", "b")) == ClaimVerdict::Kind::Held);
}

TEST_CASE("many claims of a slice are committed by one write")
{
    FakePlatform platform;
    ClaimCommitter committer(platform, age_limit);
    std::vector<Claim> batch;
    for (int i = 0; batch.size() < 50; ++i) {
        const Claim claim =
            make_claim(std::to_string(i), "id" + std::to_string(i));
        if (claim_slice_of(claim.key) == 3)
            batch.push_back(claim);
    }
    const auto verdicts = committer.commit(3, batch, {}, start);
    CHECK(std::all_of(verdicts.begin(), verdicts.end(), [](const auto& v) {
        return v.kind == ClaimVerdict::Kind::Granted;
    }));
    CHECK(platform.writes == 1);
}

TEST_CASE("a lost answer is settled by reading back")
{
    FakePlatform platform;
    ClaimCommitter committer(platform, age_limit);
    int calls = 0;
    platform.next_fate = [&calls] {
        return ++calls == 2 ? Fate::LoseAnswer : Fate::Answer;
    };
    CHECK(decide(committer, make_claim("k", "a")) ==
          ClaimVerdict::Kind::Granted);
}

TEST_CASE("without the platform no claim is granted")
{
    FakePlatform platform;
    ClaimCommitter committer(platform, age_limit);
    platform.next_fate = [] { return Fate::Refuse; };
    CHECK_THROWS_AS(decide(committer, make_claim("k", "a")), Error);
}

TEST_CASE("a claim that was given back can be taken again")
{
    FakePlatform platform;
    ClaimCommitter one(platform, age_limit);
    ClaimCommitter other(platform, age_limit);
    const Claim claim = make_claim("k", "a");
    REQUIRE(decide(one, claim) == ClaimVerdict::Kind::Granted);
    const std::string id = "a";
    other.commit(claim_slice_of(claim.key), {}, {&id, 1}, start);
    CHECK(decide(other, make_claim("k", "b")) == ClaimVerdict::Kind::Granted);
    CHECK(decide(one, make_claim("k", "c")) == ClaimVerdict::Kind::Held);
}

TEST_CASE("a key older than the age limit is refused after it was cleared")
{
    FakePlatform platform;
    ClaimCommitter committer(platform, age_limit);
    const Claim old = make_claim("old", "a", start);
    REQUIRE(decide(committer, old) == ClaimVerdict::Kind::Granted);
    // A later claim of the same slice raises the floor above the old key.
    const UnixMillis later = start + 2 * age_limit;
    for (int i = 0;; ++i) {
        const Claim next = make_claim("n" + std::to_string(i), "n", later);
        if (claim_slice_of(next.key) != claim_slice_of(old.key))
            continue;
        REQUIRE(decide(committer, next, later) == ClaimVerdict::Kind::Granted);
        break;
    }
    CHECK(decide(committer, make_claim("old", "b", start), later) ==
          ClaimVerdict::Kind::Expired);
}

TEST_CASE("a clock that jumps ahead does not refuse fresh keys")
{
    FakePlatform platform;
    ClaimCommitter ahead(platform, age_limit);
    ClaimCommitter right(platform, age_limit);
    const UnixMillis year_ahead = start + 365ULL * 24 * 3600 * 1000;
    CHECK(decide(ahead, make_claim("a", "a"), year_ahead) ==
          ClaimVerdict::Kind::Granted);
    CHECK(decide(right, make_claim("b", "b")) == ClaimVerdict::Kind::Granted);
}

TEST_CASE("older claims move into segments and still hold their keys")
{
    FakePlatform platform;
    ClaimCommitter committer(platform, age_limit);
    std::vector<Claim> claims;
    for (int i = 0; claims.size() < 1200; ++i) {
        const Claim claim =
            make_claim(std::to_string(i), "id" + std::to_string(i));
        if (claim_slice_of(claim.key) == 0)
            claims.push_back(claim);
    }
    for (std::size_t i = 0; i < claims.size(); i += 100)
        committer.commit(0, std::span(claims).subspan(i, 100), {}, start);
    CHECK(platform.list("crosslink/claims/0/segment/").size() == 2);
    ClaimCommitter fresh(platform, age_limit);
    for (Claim claim : claims) {
        claim.id = "other";
        REQUIRE(decide(fresh, claim) == ClaimVerdict::Kind::Held);
    }
}

TEST_CASE("no key runs twice, whatever is lost, late, paused or restarted")
{
    int runs = 0;
    const bool held = rc::check("at most one run a key", [&runs] {
        RandomFleet fleet;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i)
            fleet.random_step();
        runs += fleet.runs();
        RC_ASSERT(fleet.max_runs_per_key() <= 1);
    });
    CHECK(held);
    // The property is meaningless if no call ever runs.
    CHECK(runs > 100);
}

} // namespace crosslink
