// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

// Random runs of a directory and its stores.

#include "../testing/two_stores.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace crosslink
{

using namespace testing::two_stores;
using testing::managed_store;

namespace
{

/// Simulates stores, with calls that save to and fetch from them, for the
/// random runs below. Fails where a part is saved twice to a store, or freed
/// during a fetch or a save.
class StoreSimulation
{
public:
    explicit StoreSimulation(KeptDirectory& directory) { add(directory); }

    /// Adds the directory of another instance, to which the stores report their
    /// changes too.
    void add(KeptDirectory& directory) { m_directories.push_back(&directory); }

    void call(KeptDirectory& directory, const std::string& id, std::int64_t now,
              std::int64_t length)
    {
        const KeptAnswer answer = ask(directory, id, now);
        const KeptPlace& place = answer.places[0];
        const Key key{place.store, answer.space, id};
        if (place.kind == KeptPlace::Kind::Save) {
            RC_ASSERT(!m_writing.contains(key));
            RC_ASSERT(!m_whole.contains(key));
            m_writing[key] = now + length;
        } else if (place.kind == KeptPlace::Kind::Fetch) {
            m_fetches.push_back({key, static_cast<std::int64_t>(place.until)});
        }
    }

    void advance(std::int64_t now, bool report)
    {
        for (auto item = m_writing.begin(); item != m_writing.end();) {
            if (now < item->second) {
                ++item;
                continue;
            }
            const auto& [where, text, id] = item->first;
            m_whole.insert(item->first);
            for (KeptDirectory* directory : m_directories)
                if (report)
                    directory->apply_changes(
                        where, stored(text, id, clock(now)), at(now));
            item = m_writing.erase(item);
        }
        std::erase_if(m_fetches, [&](const Fetch& fetch) {
            return static_cast<std::int64_t>(clock(now)) > fetch.until;
        });
    }

    void free_due(KeptDirectory& directory, std::int64_t now,
                  bool all_obsolete = false)
    {
        const auto obsolete = [all_obsolete](const KeptSpace&) {
            return all_obsolete;
        };
        for (const KeptFree& free :
             directory.take_due_frees(obsolete, 1, at(now)))
            for (const KeptPart& part : free.parts) {
                const Key key{free.store, part.space, part.id};
                for (const Fetch& fetch : m_fetches)
                    RC_ASSERT(fetch.key != key);
                RC_ASSERT(!m_writing.contains(key));
                m_whole.erase(key);
            }
    }

    void list(KeptDirectory& directory, const std::string& where,
              std::int64_t now)
    {
        KeptListing listing = empty_listing(1, clock(now));
        for (const auto& [place, text, id] : m_whole)
            if (place == where)
                listing.whole.push_back({text, id, 160});
        directory.apply_listing(where, listing, at(now));
    }

    static RunnerMillis clock(std::int64_t now)
    {
        return static_cast<RunnerMillis>(now + 1000);
    }

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Fetch {
        Key key;
        std::int64_t until;
    };

    std::vector<KeptDirectory*> m_directories;
    std::map<Key, std::int64_t> m_writing;
    std::set<Key> m_whole;
    std::vector<Fetch> m_fetches;
};

} // namespace

TEST_CASE("whatever is told, lost and freed, no fetch meets a write or a free")
{
    CHECK(rc::check("no fetch of an incomplete part", [] {
        KeptDirectory directory = directory_with_stores();
        StoreSimulation simulation(directory);
        std::int64_t now = 0;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            now += *rc::gen::inRange<std::int64_t>(1, 1500);
            simulation.advance(now, *rc::gen::inRange(0, 4) > 0);
            const auto id = std::to_string(*rc::gen::inRange(0, 150));
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                simulation.free_due(directory, now);
                break;
            case 1:
                simulation.list(directory, fast, now);
                simulation.list(directory, big, now);
                break;
            default:
                simulation.call(directory, id, now,
                                *rc::gen::inRange<std::int64_t>(1, 3900));
            }
        }
    }));
}

TEST_CASE("a new holder frees no part that an earlier one still reports")
{
    CHECK(rc::check("no fetch of a part that another holder frees", [] {
        KeptDirectory earlier = directory_with_stores(7);
        StoreSimulation simulation(earlier);
        KeptDirectory next;
        std::int64_t now = 0;
        const auto take_over = *rc::gen::inRange<std::int64_t>(2000, 20'000);
        // The earlier holder answers until its grace time ends, or stops
        // earlier where the next one asks it to.
        const bool stops = *rc::gen::arbitrary<bool>();
        const auto grace =
            stops ? *rc::gen::inRange<std::int64_t>(0, kept_grace_time.count())
                  : kept_grace_time.count();
        const std::int64_t end = take_over + grace;
        bool taken = false;
        bool silent = false;
        while (now < end + 12'000) {
            now += *rc::gen::inRange<std::int64_t>(1, 700);
            simulation.advance(now, *rc::gen::inRange(0, 4) > 0);
            if (!taken && now >= take_over) {
                taken = true;
                const std::vector<KeptStoreInfo> stores{
                    managed_store(fast, 1600, 100),
                    managed_store(big, 16'000, 10)};
                next.set_stores(stores);
                next.begin(9, at(now));
                simulation.add(next);
                simulation.list(next, fast, now);
                simulation.list(next, big, now);
            }
            if (taken && stops && !silent && now >= end) {
                silent = true;
                next.earlier_holders_stopped(at(now));
            }
            const auto id = std::to_string(*rc::gen::inRange(0, 150));
            const auto length = *rc::gen::inRange<std::int64_t>(1, 3900);
            const bool asks_next = taken && *rc::gen::inRange(0, 2) == 0;
            if (asks_next)
                simulation.call(next, id, now, length);
            else if (now < end)
                simulation.call(earlier, id, now, length);
            simulation.free_due(taken ? next : earlier, now,
                                *rc::gen::inRange(0, 20) == 0);
        }
    }));
}

} // namespace crosslink
