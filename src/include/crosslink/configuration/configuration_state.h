// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/configuration/configuration.h>

#include <memory>
#include <mutex>
#include <optional>

namespace crosslink
{

/// Holds the configuration in force in this process. Its revision only grows:
/// an older or equal one is rejected, whatever its source.
class ConfigurationState
{
public:
    using ConfigurationPtr = std::shared_ptr<const Configuration>;

    /// Puts `candidate` in force when its revision is newer. Returns whether
    /// it did.
    bool set_if_newer(ConfigurationPtr candidate);
    /// Returns the configuration in force; null before the first.
    ConfigurationPtr current() const;
    /// Returns the revision in force; 0 before the first.
    std::uint64_t revision() const;

private:
    mutable std::mutex m_mutex;
    ConfigurationPtr m_current;
};

/// Which sources told a starting instance the newest configuration.
struct StartupReplies {
    bool platform_answered = false; ///< The platform returned its head.
    std::size_t zone_members = 0;   ///< Known other members of the zone.
    std::size_t zone_answered = 0;  ///< Those that reported their revision.
};

/// Decides whether a starting instance may serve with the newest revision it
/// has learned. The platform's own answer is enough. Without it, every known
/// member of the zone must have answered: an instance that starts during a
/// network partition must not serve a revision older than what its zone already
/// serves.
bool may_start_serving(const StartupReplies& replies, std::uint64_t revision);

} // namespace crosslink
