// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/configuration/configuration_state.h>

#include <functional>
#include <optional>
#include <string>

namespace crosslink
{

/// Where the texts of parts come from: the platform or a peer.
using PartReader =
    std::function<std::optional<std::string>(const Digest& digest)>;

/// Returns the configuration that `head` names. Parts that `current` has are
/// taken from it; the others come from `read_part`. Throws
/// Error(TemplateInvalid) where one is missing or does not fit its digest.
ConfigurationState::ConfigurationPtr
load_configuration(ConfigurationHead head,
                   const ConfigurationState::ConfigurationPtr& current,
                   const PartReader& read_part);

} // namespace crosslink
