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

/// Kind of an instance in the platform's list.
enum class ListedKind { Entry, Engine, Store, Plain };

/// One row of the platform's lagging list.
struct ListedInstance {
    std::string id;
    ListedKind kind = ListedKind::Plain;
    std::string address; ///< "ip:port"; the peer address of entry instances.
    std::string zone;    ///< Availability zone.
    std::string service; ///< Plain services only: the service's name.
    bool leaving = false;
};

/// The platform's key-value service and list. Calls block up to the adapter's
/// time-out. They throw Error with PlatformUnavailable if the call certainly
/// had no effect, PlatformThrottled if the service throttled it, and
/// PlatformOutcomeUnknown if a write may have taken effect.
class Platform
{
public:
    virtual ~Platform() = default;

    /// Returns the record of `key`, or std::nullopt if there is none.
    virtual std::optional<PlatformRecord> read(std::string_view key) = 0;
    /// Returns all records whose key begins with `prefix`.
    virtual std::vector<NamedRecord> list(std::string_view prefix) = 0;
    /// Writes `value` if the version of `key` is `expected`; 0 means that
    /// there must be no record.
    virtual SwapOutcome write_if(std::string_view key, std::string_view value,
                                 std::uint64_t expected) = 0;
    /// Removes `key` if its version is `expected`.
    virtual SwapOutcome remove_if(std::string_view key,
                                  std::uint64_t expected) = 0;
    /// Waits up to `wait` for a version of `key` above `seen`. Returns
    /// std::nullopt if there was none.
    virtual std::optional<PlatformRecord>
    watch(std::string_view key, std::uint64_t seen, Micros wait) = 0;
    /// Acquires the lease `name` for `holder`. If `holder` has it already,
    /// extends it and keeps its token. Returns std::nullopt if another holds
    /// it.
    virtual std::optional<PlatformLease> take_lease(std::string_view name,
                                                    std::string_view holder,
                                                    Micros time_to_live) = 0;
    /// Releases the lease if it is still held under `token`.
    virtual void release_lease(std::string_view name, std::uint64_t token) = 0;
    /// Returns the lagging list of live and leaving instances.
    virtual std::vector<ListedInstance> instances() = 0;
    /// Registers this instance in the list, as present or as leaving.
    virtual void announce(const ListedInstance& self) = 0;
};

} // namespace crosslink
