// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/service_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace crosslink
{

/// The room in the stores of kept parts: which stores there are and answer,
/// how much is taken in each, and to which of them a part is saved. Stores are
/// named by their addresses; what is said of one that is not known is passed
/// over.
class KeptRoom
{
public:
    /// Returns the room, in tokens, that a part of `tokens` takes.
    static std::uint32_t room_of(std::uint32_t tokens);

    /// Takes over the managed stores of the configuration. What is known of
    /// those that stay is kept.
    void set_stores(std::span<const KeptStoreInfo> stores);
    /// Takes over the stores that are slow now; they are written to only where
    /// no other one has room.
    void set_slow(std::set<std::string, std::less<>> stores)
    {
        m_slow = std::move(stores);
    }
    /// Forgets what is known of the stores.
    void clear();

    bool contains(std::string_view store) const;
    /// Returns the boot that a store told of itself; 0 where it told none.
    std::uint64_t boot(std::string_view store) const;
    /// Returns whether a store answers.
    bool is_reachable(std::string_view store) const;
    /// Returns when a store listed its parts last; nothing for an unknown one.
    std::optional<TimePoint> listed_at(std::string_view store) const;
    /// Returns whether every store told its boot.
    bool all_told() const;

    /// Takes note of a store's boot. Returns true where it is a new one: the
    /// store has forgotten all, and is written to only from `write_from` on.
    bool take_boot(std::string_view store, std::uint64_t boot,
                   TimePoint write_from);
    /// Takes note that a store listed its parts.
    void listed(std::string_view store, TimePoint now);
    void set_reachable(std::string_view store, bool reachable);

    /// Takes note that `tokens` of room are taken in a store.
    void take(std::string_view store, std::uint32_t tokens);
    /// Takes note that `tokens` of room are free again in a store.
    void give_back(std::string_view store, std::uint32_t tokens);

    /// Returns the store that a part of `tokens` should be saved to, of those
    /// that `may_have` does not say of that they may have it already; empty
    /// where none has room. A forerunner, a part that others of the prompt
    /// follow, goes to the fastest link: it is fetched for many prompts. Other
    /// parts fill the stores in proportion to their links, so that reads
    /// spread alike.
    std::string
    place_for(std::uint32_t tokens, bool forerunner,
              const std::function<bool(const std::string&)>& may_have,
              TimePoint now);
    /// Returns whether a part found no room since room was made last.
    bool is_full() const { return m_full; }
    /// Takes note that room is made.
    void made() { m_full = false; }
    /// Returns whether less room is free than is to be kept free, where the
    /// part `updated_fraction` of the runners, 0 to 1, has the newest weights.
    /// `let_go` tokens of what is taken are about to be freed.
    bool is_low(double updated_fraction, std::uint64_t let_go) const;
    /// Returns the tokens that are let go at once to make room.
    double tokens_to_let_go() const;

private:
    struct Store {
        KeptStoreInfo info;
        bool reachable = false;
        std::uint64_t boot = 0;
        std::uint64_t used_tokens = 0;
        TimePoint write_from{}; ///< Answers on its earlier boot have run out.
        TimePoint listed_at{};
    };

    Store* find(std::string_view store);
    const Store* find(std::string_view store) const;
    static bool is_open(const Store& store, TimePoint now);
    bool has_room(const Store& store, std::uint32_t tokens,
                  bool forerunner) const;
    double slowest_link() const;
    double free_part(std::uint64_t let_go) const;

    std::map<std::string, Store, std::less<>> m_stores; ///< By address.
    std::set<std::string, std::less<>> m_slow;          ///< Stores.
    bool m_full = false;
};

} // namespace crosslink
