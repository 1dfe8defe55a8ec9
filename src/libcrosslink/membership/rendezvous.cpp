// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/rendezvous.h>

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace crosslink
{

std::uint64_t
rendezvous_weight(std::string_view key, std::string_view candidate)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

std::vector<std::string>
rendezvous_order(std::string_view key, std::span<const std::string> names)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighed;
    weighed.reserve(names.size());
    for (const std::string& name : names)
        weighed.emplace_back(rendezvous_weight(key, name), name);
    std::sort(weighed.rbegin(), weighed.rend());
    std::vector<std::string> order;
    order.reserve(weighed.size());
    for (auto& [weight, name] : weighed)
        order.push_back(std::move(name));
    return order;
}

} // namespace crosslink
