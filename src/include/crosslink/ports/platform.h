// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crosslink
{

/// A value of the key-value service with its version; versions of one key
/// grow with each write and start at 1.
struct PlatformRecord {
    std::string value;
    std::uint64_t version = 0;
};

/// A record with its key, as listings return it.
struct NamedRecord {
    std::string key;
    PlatformRecord record;
};

/// The outcome of a compare-and-swap that the service answered.
struct SwapOutcome {
    bool applied = false;
    std::uint64_t version = 0; ///< Of the record now in place; 0: none.
};

/// A lease as granted: the token grows with each grant of the same name, so
/// that it can fence orders.
struct PlatformLease {
    std::string name;
    std::uint64_t token = 0;
    Micros time_to_live{0};
};

/// What the platform's list says an instance is.
enum class ListedKind { Entry, Engine, Store, Plain };

/// One row of the platform's lagging list.
struct ListedInstance {
    std::string id;
    ListedKind kind = ListedKind::Plain;
    std::string address; ///< "ip:port"; for entry instances, of the peers.
    std::string zone;    ///< Availability zone.
    std::string service; ///< Plain services only: the service's name.
    bool leaving = false;
};

/// The platform's key-value service and list. Calls block up to the adapter's
/// time-out. They throw Error with PlatformUnavailable where the call took
/// certainly no effect, PlatformThrottled where the service turned it away,
/// and PlatformOutcomeUnknown where a write may have taken effect.
class Platform
{
public:
    virtual ~Platform() = default;

    /// Returns the record of `key`, or nothing where there is none.
    virtual std::optional<PlatformRecord> read(std::string_view key) = 0;
    /// Returns all records whose key begins with `prefix`.
    virtual std::vector<NamedRecord> list(std::string_view prefix) = 0;
    /// Writes `value` where the version of `key` is `expected`; 0 stands for
    /// "no record".
    virtual SwapOutcome write_if(std::string_view key, std::string_view value,
                                 std::uint64_t expected) = 0;
    /// Removes `key` where its version is `expected`.
    virtual SwapOutcome remove_if(std::string_view key,
                                  std::uint64_t expected) = 0;
    /// Waits up to `wait` for a version of `key` above `seen`. Returns nothing
    /// where none came.
    virtual std::optional<PlatformRecord>
    watch(std::string_view key, std::uint64_t seen, Micros wait) = 0;
    /// Takes the lease `name` for `holder`; nothing where another holds it.
    /// Asked again by its holder it is extended, with the same token.
    virtual std::optional<PlatformLease> take_lease(std::string_view name,
                                                    std::string_view holder,
                                                    Micros time_to_live) = 0;
    /// Gives the lease back if `token` still holds it.
    virtual void release_lease(std::string_view name, std::uint64_t token) = 0;
    /// Returns the lagging list of live and leaving instances.
    virtual std::vector<ListedInstance> instances() = 0;
    /// Tells the list of this instance: present, or leaving.
    virtual void announce(const ListedInstance& self) = 0;
};

} // namespace crosslink
