// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/membership/store_position.h>

#include <cstdint>

namespace crosslink
{

/// What a process knows of a duty that it took at the platform's store, and
/// whether it may go on with it after the store came back from a copy. Its
/// lease is of the era in which it was granted: in a later one, its number may
/// be another's.
class HeldDuty
{
public:
    /// Records that the duty was taken by a write of its key at `written`,
    /// under a lease of `span` that was asked for at `asked`.
    void taken(const StorePosition& written, TimePoint asked, Micros span);
    /// Records the same of a write with which a suspended duty goes on.
    void continued(const StorePosition& written, TimePoint asked, Micros span);
    /// Records that the lease was extended to `span` from `asked` on.
    void renewed(TimePoint asked, Micros span);
    /// Records that the store came back from a copy since the last write.
    void suspend() { m_is_suspended = true; }

    /// Returns whether the duty is held, and not suspended.
    bool is_held() const { return m_token != 0 && !m_is_suspended; }
    /// Returns whether nobody else can have held a suspended duty before the
    /// copy was taken, as of `now`: its lease did not expire.
    bool is_unbroken(TimePoint now) const;
    /// Returns the revision of its key as this process wrote it. A restored
    /// store that has the key so is from after that write.
    std::uint64_t revision() const { return m_written.revision; }
    /// Returns the fencing token; 0 where the duty was never taken.
    std::uint64_t token() const { return m_token; }

private:
    std::uint64_t m_token = 0;
    StorePosition m_written;
    TimePoint m_renewed_at{}; ///< When the last renewal was asked for.
    Micros m_span{0};         ///< Of the lease, as last granted.
    bool m_is_suspended = false;
};

} // namespace crosslink
