// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/admit/admission.h>
#include <crosslink/base/error.h>

#include <catch2/catch.hpp>

#include <map>

namespace crosslink
{

namespace
{

AccountPolicy
open_terms()
{
    AccountPolicy terms;
    terms.limits.requests_per_second = 1e5;
    terms.limits.tokens_per_second = 1e9;
    terms.limits.concurrent = 10'000;
    return terms;
}

ClientAccount
account(const std::string& name, const AccountPolicy& terms = open_terms())
{
    return {name, {}, std::make_shared<const AccountPolicy>(terms)};
}

ClientAccount
weighted(const std::string& name, double weight)
{
    AccountPolicy terms = open_terms();
    terms.weight = weight;
    return account(name, terms);
}

ErrorCode
refusal(Admission& admission, const ClientAccount& who, std::uint64_t tokens)
{
    try {
        admission.ask(who, tokens, 1, TimePoint{});
    } catch (const Error& failure) {
        CHECK(is_not_run(failure.run_state()));
        CHECK(failure.retry_after());
        return failure.code();
    }
    return ErrorCode::Internal;
}

} // namespace

TEST_CASE("limits refuse at once and tell when to come back")
{
    Admission admission({});
    AccountPolicy terms = open_terms();
    terms.limits.requests_per_second = 1;
    const ClientAccount slow = account("slow", terms);
    admission.ask(slow, 1, 1, TimePoint{});
    admission.ask(slow, 1, 1, TimePoint{});
    CHECK(refusal(admission, slow, 1) == ErrorCode::RateLimited);
    terms = open_terms();
    terms.limits.concurrent = 1;
    const ClientAccount narrow = account("narrow", terms);
    admission.ask(narrow, 1, 1, TimePoint{});
    CHECK(refusal(admission, narrow, 1) == ErrorCode::ConcurrencyLimited);
}

TEST_CASE("a full queue refuses")
{
    Admission admission({1, 1, std::chrono::seconds(1)});
    admission.ask(account("a"), 1, 1, TimePoint{});
    admission.ask(account("a"), 1, 1, TimePoint{});
    CHECK(refusal(admission, account("b"), 1) == ErrorCode::QueueFull);
}

TEST_CASE("an account that floods waits behind its own requests")
{
    Admission admission({1, 200, std::chrono::seconds(1)});
    const auto first = admission.ask(account("flood"), 1000, 1, TimePoint{});
    std::map<std::uint64_t, std::string> names;
    for (int i = 0; i < 50; ++i)
        names[admission.ask(account("flood"), 1000, 1, TimePoint{}).number] =
            "flood";
    const auto small = admission.ask(account("small"), 1000, 1, TimePoint{});
    std::uint64_t running = first.number;
    int before = 0;
    while (running != small.number) {
        const auto next = admission.release(running);
        REQUIRE(next.size() == 1);
        running = next.front();
        ++before;
    }
    CHECK(before <= 3);
}

TEST_CASE("admissions are shared by weight")
{
    Admission admission({1, 1000, std::chrono::seconds(1)});
    std::uint64_t running =
        admission.ask(account("other"), 1, 1, TimePoint{}).number;
    std::map<std::uint64_t, std::string> names;
    for (int i = 0; i < 200; ++i)
        for (const auto& who : {weighted("heavy", 3), weighted("light", 1)})
            names[admission.ask(who, 100, 1, TimePoint{}).number] = who.name;
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        running = admission.release(running).front();
        ++counts[names[running]];
    }
    CHECK(counts["heavy"] >= 70);
    CHECK(counts["light"] >= 20);
}

TEST_CASE("a withdrawn request is not admitted")
{
    Admission admission({1, 10, std::chrono::seconds(1)});
    const auto first = admission.ask(account("a"), 1, 1, TimePoint{});
    const auto second = admission.ask(account("a"), 1, 1, TimePoint{});
    REQUIRE_FALSE(second.admitted);
    CHECK(admission.withdraw(second.number));
    CHECK(admission.release(first.number).empty());
    CHECK(admission.running() == 0);
}

} // namespace crosslink
