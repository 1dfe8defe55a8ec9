// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/forward/runner_table.h>
#include <crosslink/forward/service_map.h>
#include <crosslink/forward/software_history.h>
#include <crosslink/membership/change_page.h>
#include <crosslink/membership/instance_info.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crosslink
{

/// The operator's configuration in force.
struct ServiceMapChanged {
    std::shared_ptr<const ServiceMap> map;
};

/// New weights that the runners must load.
struct WeightsNamed {
    std::string model;
    std::uint64_t version = 0;
};

/// The record of recently named weights, as written by a holder of the duty.
struct WeightsRecorded {
    std::string model;
    std::vector<std::uint64_t> versions; ///< In ascending order.
};

/// Whether calls may still be sent to weights that `version` replaced. They may
/// until the lease that was written with the record of `version` expires.
struct RolloutMarked {
    std::string model;
    std::uint64_t version = 0;
    bool open = false;
};

/// Whether a request is recorded as blocked: it is sent to no runner.
struct RequestBlocked {
    std::string request; ///< Digest of the request.
    bool blocked = false;
};

/// Whether a software version is recorded as one that served lately.
struct SoftwareRecorded {
    std::string id;                       ///< See ServedSoftware::record_id().
    std::optional<ServedSoftware> served; ///< Nothing if it is not recorded.
};

/// Whether resumable routes are recorded as ones that were in force lately.
struct RoutesRecorded {
    std::string id; ///< See RecordedRoutes.
    /// Null if they are not recorded.
    std::shared_ptr<const ServiceMap> routes;
};

/// Whether the operator asks that nothing new is sent to the runners of an
/// availability zone.
struct ZoneEvacuated {
    std::string zone;
    bool evacuated = false;
};

/// A runner whose entry in the list was added or changed.
struct RunnerListed {
    ListedRunner runner;
};

/// A runner that is no longer listed.
struct RunnerGone {
    std::string id;
};

/// An entry instance that is present, or has left; its address is empty if it
/// has left.
struct InstanceListed {
    InstanceInfo instance;
};

/// The instance that holds the lease of `duty`; `address` is empty if there is
/// none.
struct DutyHolder {
    std::string duty;
    std::string address;
};

/// One decoded change of the platform's data about the fleet.
using FleetChange =
    std::variant<ServiceMapChanged, WeightsNamed, WeightsRecorded,
                 RolloutMarked, RequestBlocked, SoftwareRecorded,
                 RoutesRecorded, ZoneEvacuated, RunnerListed, RunnerGone,
                 InstanceListed, DutyHolder>;

/// What a list of changes describes.
enum class ChangesKind {
    Update,   ///< What was written.
    Snapshot, ///< The complete state: entries that it does not name are gone.
    /// How a copy, from which the platform's store was restored, differs from
    /// what was known. The latter is newer, and holds until it is written
    /// again.
    RestoredCopy,
};

/// What an instance that starts finds at the platform.
struct FirstLook {
    /// Reading everything takes many requests.
    bool large = false;
    ChangePage page; ///< A snapshot; empty in a large fleet.
    /// Peer address of the holder of the duty; empty for none. Told for a large
    /// fleet only.
    std::string coordinator;
};

/// What a wait for changes brought.
struct FeedChanges {
    enum class Outcome {
        Received,
        HistoryLost,   ///< The platform no longer has these changes.
        StoreRestored, ///< Its store came back from a copy: a later era.
    };

    Outcome outcome = Outcome::Received;
    ChangePage page; ///< Empty unless they were received.
};

/// The platform's data that every instance follows: the operator's
/// configuration, the named weights, the runners, and the entry instances with
/// the duties that they hold. read() and wait() block,
/// and throw Error with PlatformUnavailable, PlatformThrottled or
/// PlatformOutcomeUnknown.
class FleetFeed
{
public:
    virtual ~FleetFeed() = default;

    /// Returns a snapshot of all current entries.
    virtual ChangePage read() = 0;
    /// As read(), unless that takes many requests.
    virtual FirstLook read_unless_large() = 0;
    /// Returns the peer address of the holder of the duty; empty for none.
    virtual std::string coordinator() = 0;
    /// Waits up to `longest` for changes after `position`.
    virtual FeedChanges wait(const StorePosition& position, Micros longest) = 0;
    /// Decodes the entries of `page`, in their order. Skips entries that are of
    /// no use here or can't be decoded, and logs the latter.
    virtual std::vector<FleetChange> decode(const ChangePage& page) const = 0;
};

} // namespace crosslink
