// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/change_log.h>

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

constexpr std::uint64_t first_era = 1;

/// The position of a revision in the first era.
StorePosition
at(std::uint64_t revision)
{
    return {first_era, revision};
}

KeyChange
entry(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return {key, value, revision};
}

ChangePage
snapshot(std::uint64_t revision, std::vector<KeyChange> entries,
         std::uint64_t era = first_era)
{
    return {0, {era, revision}, true, std::move(entries)};
}

ChangePage
changes(std::uint64_t since, std::uint64_t revision,
        std::vector<KeyChange> entries, std::uint64_t era = first_era)
{
    return {since, {era, revision}, false, std::move(entries)};
}

/// All keys of one or several pages, with their latest values.
using Values = std::map<std::string, std::string>;

void
follow(Values& values, const ChangePage& page)
{
    if (page.is_snapshot)
        values.clear();
    for (const KeyChange& entry : page.entries) {
        if (entry.value)
            values[entry.key] = *entry.value;
        else
            values.erase(entry.key);
    }
}

Values
values_of(const ChangeLog& log)
{
    Values values;
    follow(values, log.since(std::nullopt));
    return values;
}

} // namespace

TEST_CASE("a log knows nothing before its first whole page")
{
    ChangeLog log;
    CHECK_FALSE(log.apply(changes(3, 4, {entry("a", "1", 4)})));
    CHECK_FALSE(log.position());
    const ChangePage page = log.since(std::nullopt);
    CHECK_FALSE(page.is_snapshot);
    CHECK(page.entries.empty());
}

TEST_CASE("only a page that goes on where the log stands is taken")
{
    ChangeLog log;
    REQUIRE(log.apply(snapshot(10, {entry("a", "1", 7)})));
    CHECK_FALSE(log.apply(changes(8, 12, {entry("a", "0", 9)})));
    CHECK_FALSE(log.apply(changes(11, 12, {entry("a", "2", 12)})));
    CHECK_FALSE(log.apply(snapshot(9, {entry("a", "0", 9)})));
    CHECK(values_of(log) == Values{{"a", "1"}});
    CHECK(log.apply(changes(10, 12, {entry("a", "2", 12)})));
    CHECK(values_of(log) == Values{{"a", "2"}});
    CHECK(log.position() == at(12));
}

TEST_CASE("who stands in the log gets what follows, others get all there is")
{
    ChangeLog log;
    REQUIRE(log.apply(snapshot(10, {entry("a", "1", 7), entry("b", "1", 8)})));
    REQUIRE(log.apply(changes(10, 12, {entry("a", "2", 11)})));
    REQUIRE(log.apply(changes(12, 13, {{"b", std::nullopt, 13}})));
    const ChangePage next = log.since(at(11));
    CHECK_FALSE(next.is_snapshot);
    CHECK(next.since == 11);
    CHECK(next.position == at(13));
    REQUIRE(next.entries.size() == 1);
    CHECK(next.entries[0].key == "b");
    CHECK_FALSE(next.entries[0].value);
    CHECK(log.since(at(9)).is_snapshot);
    CHECK(log.since(at(9)).entries.size() == 1);
}

TEST_CASE("who knows more than the log is told nothing and stays")
{
    ChangeLog log;
    REQUIRE(log.apply(snapshot(10, {entry("a", "1", 7)})));
    const ChangePage page = log.since(at(20));
    CHECK_FALSE(page.is_snapshot);
    CHECK(page.entries.empty());
    CHECK(page.position == at(20));
}

TEST_CASE("the first whole page of a later era replaces a higher revision")
{
    ChangeLog log;
    REQUIRE(
        log.apply(snapshot(37, {entry("a", "1", 30), entry("b", "1", 37)})));
    CHECK(log.apply(snapshot(20, {entry("a", "0", 11)}, 2)));
    CHECK(log.position() == StorePosition{2, 20});
    CHECK(values_of(log) == Values{{"a", "0"}});
    CHECK(log.needs_snapshot(at(37)));
    CHECK(log.since(at(20)).is_snapshot);
}

TEST_CASE("changes of a later era do not continue from the same revision")
{
    ChangeLog log;
    REQUIRE(log.apply(snapshot(37, {entry("a", "1", 37)})));
    CHECK_FALSE(log.apply(changes(37, 38, {entry("a", "2", 38)}, 2)));
    CHECK(log.position() == at(37));
}

TEST_CASE("what comes late from an earlier era is rejected")
{
    ChangeLog log;
    REQUIRE(log.apply(snapshot(20, {entry("a", "1", 11)}, 2)));
    CHECK_FALSE(log.apply(snapshot(37, {entry("a", "0", 37)})));
    CHECK_FALSE(log.apply(changes(20, 21, {entry("a", "0", 21)})));
    CHECK(values_of(log) == Values{{"a", "1"}});
}

TEST_CASE("a log of an earlier era confirms nothing to one of a later era")
{
    ChangeLog behind;
    REQUIRE(behind.apply(snapshot(37, {entry("a", "0", 37)})));
    ChangeLog ahead;
    REQUIRE(ahead.apply(snapshot(20, {entry("a", "1", 11)}, 2)));
    const ChangePage page = behind.since(ahead.position());
    CHECK_FALSE(page.is_snapshot);
    CHECK(page.entries.empty());
    CHECK_FALSE(ahead.apply(page));
}

TEST_CASE("the differences of a copy are what it has otherwise, and lacks")
{
    ChangeLog log;
    REQUIRE(
        log.apply(snapshot(9, {entry("same", "1", 1), entry("other", "2", 8),
                               entry("new", "1", 9)})));
    const ChangePage copy = snapshot(
        7,
        {entry("same", "1", 1), entry("other", "1", 3), entry("old", "1", 5)},
        2);
    const auto differences = log.differences(copy).entries;
    REQUIRE(differences.size() == 3);
    CHECK(differences[0].key == "other");
    CHECK(differences[0].value == "1");
    CHECK(differences[1].key == "old");
    CHECK(differences[2].key == "new");
    CHECK_FALSE(differences[2].value);
    REQUIRE(log.apply(copy));
    const ChangePage state = log.state_of({"new", "other"});
    REQUIRE(state.entries.size() == 2);
    CHECK_FALSE(state.entries[0].value);
    CHECK(state.entries[1].value == "1");
}

TEST_CASE("logs end with the store's state, however often it is restored")
{
    CHECK(rc::check([] {
        constexpr std::size_t log_count = 3;
        ChangeLog store;
        store.apply(snapshot(1, {}));
        Values truth;
        std::vector<ChangeLog> logs(log_count);
        std::vector<StorePosition> seen(log_count);
        std::vector<ChangePage> late;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            const StorePosition now = *store.position();
            switch (*rc::gen::inRange(0, 4)) {
            case 0: {
                const ChangePage page =
                    changes(now.revision, now.revision + 1,
                            {entry(std::to_string(*rc::gen::inRange(0, 4)),
                                   std::to_string(step), now.revision + 1)},
                            now.era);
                RC_ASSERT(store.apply(page));
                follow(truth, page);
                break;
            }
            case 1: {
                // An earlier state, of which only some keys are known here.
                const auto revision =
                    *rc::gen::inRange<std::uint64_t>(1, now.revision + 1);
                const ChangePage copy = snapshot(
                    revision, {entry("0", "copy", revision)}, now.era + 1);
                RC_ASSERT(store.apply(copy));
                follow(truth, copy);
                break;
            }
            default: {
                const auto learner =
                    *rc::gen::inRange<std::size_t>(0, log_count);
                const auto teacher =
                    *rc::gen::inRange<std::size_t>(0, log_count + 1);
                const ChangeLog& from =
                    teacher == log_count ? store : logs[teacher];
                ChangeLog& log = logs[learner];
                late.push_back(from.since(log.position()));
                const auto picked =
                    *rc::gen::inRange<std::size_t>(0, late.size());
                log.apply(late[picked]);
                const auto known = log.position().value_or(StorePosition{});
                RC_ASSERT(known >= seen[learner]);
                seen[learner] = known;
            }
            }
        }
        for (ChangeLog& log : logs) {
            log.apply(store.since(log.position()));
            RC_ASSERT(log.position() == store.position());
            RC_ASSERT(values_of(log) == truth);
        }
    }));
}

TEST_CASE("a log that forgot changes tells all there is")
{
    ChangeLog log;
    REQUIRE(log.apply(snapshot(1, {})));
    constexpr std::uint64_t many = 10'000;
    for (std::uint64_t at = 2; at <= many; ++at)
        REQUIRE(log.apply(changes(at - 1, at, {entry("a", "x", at)})));
    CHECK(log.since(at(2)).is_snapshot);
    const ChangePage near = log.since(at(many - 3));
    CHECK_FALSE(near.is_snapshot);
    CHECK(near.entries.size() == 3);
}

TEST_CASE("logs that learn from each other in any order end with the same")
{
    CHECK(rc::check([] {
        // The platform, and three instances that poll it or each other.
        ChangeLog platform;
        platform.apply(snapshot(1, {}));
        Values truth;
        std::vector<ChangeLog> logs(3);
        std::vector<std::uint64_t> seen(3, 0);
        std::uint64_t revision = 1;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const bool writes = *rc::gen::arbitrary<bool>();
            if (writes) {
                const std::string key = std::to_string(*rc::gen::inRange(0, 4));
                KeyChange change{key, std::nullopt, revision + 1};
                if (*rc::gen::arbitrary<bool>())
                    change.value = std::to_string(step);
                const ChangePage page =
                    changes(revision, revision + 1, {change});
                ++revision;
                RC_ASSERT(platform.apply(page));
                follow(truth, page);
                continue;
            }
            const auto learner =
                static_cast<std::size_t>(*rc::gen::inRange(0, 3));
            const auto teacher =
                static_cast<std::size_t>(*rc::gen::inRange(0, 4));
            const ChangeLog& from = teacher == 3 ? platform : logs[teacher];
            ChangeLog& log = logs[learner];
            log.apply(from.since(log.position()));
            const std::uint64_t learned =
                log.position().value_or(StorePosition{}).revision;
            RC_ASSERT(learned >= seen[learner]);
            seen[learner] = learned;
        }
        for (ChangeLog& log : logs) {
            log.apply(platform.since(log.position()));
            RC_ASSERT(values_of(log) == truth);
        }
    }));
}

TEST_CASE("a change of every key, twice, is remembered in a fleet of any size")
{
    for (const std::uint64_t keys : {100, 1000, 10'000}) {
        ChangeLog log;
        std::vector<KeyChange> all;
        for (std::uint64_t i = 1; i <= keys; ++i)
            all.push_back(entry("k" + std::to_string(i), "1", i));
        REQUIRE(log.apply(snapshot(keys, all)));
        for (std::uint64_t round = 1; round <= 2; ++round) {
            std::vector<KeyChange> next;
            for (std::uint64_t i = 1; i <= keys; ++i)
                next.push_back(
                    entry("k" + std::to_string(i), "2", round * keys + i));
            REQUIRE(log.apply(changes(round * keys, (round + 1) * keys, next)));
        }
        CHECK_FALSE(log.needs_snapshot(at(keys)));
        CHECK(log.since(at(keys)).entries.size() == 2 * keys);
    }
}

} // namespace crosslink
