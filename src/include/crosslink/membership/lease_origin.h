// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

namespace crosslink
{

/// What a lease was before it was granted, which tells when an earlier holder
/// may have acted last.
enum class LeaseOrigin {
    Free, ///< It had expired, or was released.
    /// An earlier process of this instance held it until a moment ago.
    OwnEarlierProcess,
    /// The same, and that process could act: no other holder had to be waited
    /// for any more. Both are one holder.
    OwnActingProcess,
    /// The platform's store came back from a copy: an earlier holder, whose
    /// lease is gone with what was written since, may still act.
    StoreRestored,
    /// This process held it before the store came back, and nobody else since.
    Continued,
};

} // namespace crosslink
