// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/news_log.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crosslink
{

namespace
{

NewsEntry
entry(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return {key, value, revision};
}

NewsPage
whole(std::uint64_t place, std::vector<NewsEntry> entries)
{
    return {0, place, true, std::move(entries)};
}

NewsPage
changes(std::uint64_t since, std::uint64_t place,
        std::vector<NewsEntry> entries)
{
    return {since, place, false, std::move(entries)};
}

/// All keys of a page or of several, with their last values.
using Values = std::map<std::string, std::string>;

void
follow(Values& values, const NewsPage& page)
{
    if (page.whole)
        values.clear();
    for (const NewsEntry& entry : page.entries) {
        if (entry.value)
            values[entry.key] = *entry.value;
        else
            values.erase(entry.key);
    }
}

Values
values_of(const NewsLog& log)
{
    Values values;
    follow(values, log.since(std::nullopt));
    return values;
}

} // namespace

TEST_CASE("a log knows nothing before its first whole page")
{
    NewsLog log;
    CHECK_FALSE(log.take(changes(3, 4, {entry("a", "1", 4)})));
    CHECK_FALSE(log.place());
    const NewsPage page = log.since(std::nullopt);
    CHECK_FALSE(page.whole);
    CHECK(page.entries.empty());
}

TEST_CASE("only a page that goes on where the log stands is taken")
{
    NewsLog log;
    REQUIRE(log.take(whole(10, {entry("a", "1", 7)})));
    CHECK_FALSE(log.take(changes(8, 12, {entry("a", "0", 9)})));
    CHECK_FALSE(log.take(changes(11, 12, {entry("a", "2", 12)})));
    CHECK_FALSE(log.take(whole(9, {entry("a", "0", 9)})));
    CHECK(values_of(log) == Values{{"a", "1"}});
    CHECK(log.take(changes(10, 12, {entry("a", "2", 12)})));
    CHECK(values_of(log) == Values{{"a", "2"}});
    CHECK(log.place() == 12);
}

TEST_CASE("who stands in the log gets what follows, others get all there is")
{
    NewsLog log;
    REQUIRE(log.take(whole(10, {entry("a", "1", 7), entry("b", "1", 8)})));
    REQUIRE(log.take(changes(10, 12, {entry("a", "2", 11)})));
    REQUIRE(log.take(changes(12, 13, {{"b", std::nullopt, 13}})));
    const NewsPage next = log.since(11);
    CHECK_FALSE(next.whole);
    CHECK(next.since == 11);
    CHECK(next.place == 13);
    REQUIRE(next.entries.size() == 1);
    CHECK(next.entries[0].key == "b");
    CHECK_FALSE(next.entries[0].value);
    CHECK(log.since(9).whole);
    CHECK(log.since(9).entries.size() == 1);
}

TEST_CASE("who knows more than the log is told nothing and stays")
{
    NewsLog log;
    REQUIRE(log.take(whole(10, {entry("a", "1", 7)})));
    const NewsPage page = log.since(20);
    CHECK_FALSE(page.whole);
    CHECK(page.entries.empty());
    CHECK(page.place == 20);
}

TEST_CASE("a log that forgot changes tells all there is")
{
    NewsLog log;
    REQUIRE(log.take(whole(1, {})));
    constexpr std::uint64_t many = 10'000;
    for (std::uint64_t at = 2; at <= many; ++at)
        REQUIRE(log.take(changes(at - 1, at, {entry("a", "x", at)})));
    CHECK(log.since(2).whole);
    const NewsPage near = log.since(many - 3);
    CHECK_FALSE(near.whole);
    CHECK(near.entries.size() == 3);
}

TEST_CASE("logs that learn from each other in any order end with the same")
{
    CHECK(rc::check([] {
        // The platform, and three instances that ask it or each other.
        NewsLog platform;
        platform.take(whole(1, {}));
        Values truth;
        std::vector<NewsLog> logs(3);
        std::vector<std::uint64_t> seen(3, 0);
        std::uint64_t revision = 1;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const bool writes = *rc::gen::arbitrary<bool>();
            if (writes) {
                const std::string key = std::to_string(*rc::gen::inRange(0, 4));
                NewsEntry change{key, std::nullopt, revision + 1};
                if (*rc::gen::arbitrary<bool>())
                    change.value = std::to_string(step);
                const NewsPage page = changes(revision, revision + 1, {change});
                ++revision;
                RC_ASSERT(platform.take(page));
                follow(truth, page);
                continue;
            }
            const auto learner =
                static_cast<std::size_t>(*rc::gen::inRange(0, 3));
            const auto teacher =
                static_cast<std::size_t>(*rc::gen::inRange(0, 4));
            const NewsLog& from = teacher == 3 ? platform : logs[teacher];
            NewsLog& log = logs[learner];
            log.take(from.since(log.place()));
            const std::uint64_t place = log.place().value_or(0);
            RC_ASSERT(place >= seen[learner]);
            seen[learner] = place;
        }
        for (NewsLog& log : logs) {
            log.take(platform.since(log.place()));
            RC_ASSERT(values_of(log) == truth);
        }
    }));
}

} // namespace crosslink
