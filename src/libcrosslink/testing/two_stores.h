// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "managed_store.h"

#include <crosslink/kept/kept_directory.h>

#include <string>
#include <vector>

/// A directory before two stores, a fast one and a big one.
namespace crosslink::testing::two_stores
{

inline constexpr const char* fast = "127.0.0.1:1";
inline constexpr const char* big = "127.0.0.1:2";
inline constexpr Micros call_time = std::chrono::seconds(4);

inline TimePoint
at(std::int64_t millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

inline KeptSpace
space(std::uint64_t version = 1, const std::string& isolated_account = "")
{
    return {isolated_account, "m", version, 0};
}

inline KeptListing
empty_listing(std::uint64_t boot, RunnerMillis clock)
{
    KeptListing listing;
    listing.boot = boot;
    listing.next = 1;
    listing.clock = clock;
    return listing;
}

inline KeptDirectory
directory_with_stores(std::uint64_t term = 7)
{
    KeptDirectory directory;
    const std::vector<KeptStoreInfo> stores{managed_store(fast, 1600, 100),
                                            managed_store(big, 16'000, 10)};
    directory.set_stores(stores);
    directory.begin(term, at(0));
    directory.apply_listing(fast, empty_listing(1, 1000), at(0));
    directory.apply_listing(big, empty_listing(1, 1000), at(0));
    return directory;
}

inline KeptAnswer
ask(KeptDirectory& directory, const std::string& id, std::int64_t now,
    const KeptSpace& wanted = space())
{
    const std::vector<PromptPart> parts{{id, 160}};
    return directory.ask(wanted, parts, call_time, at(now));
}

inline KeptChanges
stored(const std::string& space_text, const std::string& id, RunnerMillis clock)
{
    KeptChanges changes;
    changes.boot = 1;
    changes.next = 2;
    changes.clock = clock;
    changes.changes.push_back({{space_text, id, 160}, true});
    return changes;
}

/// Has a part saved at 0 ms and reported as complete at 100 ms. Returns the
/// answer to the call that saves it.
inline KeptAnswer
save_part(KeptDirectory& directory, const std::string& id)
{
    KeptAnswer answer = ask(directory, id, 0);
    directory.apply_changes(answer.places[0].store,
                            stored(answer.space, id, 1100), at(100));
    return answer;
}

inline const auto never = [](const KeptSpace&) { return false; };

} // namespace crosslink::testing::two_stores
