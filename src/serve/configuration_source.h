// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/configuration/configuration_state.h>

#include <functional>
#include <optional>
#include <string>

namespace crosslink
{

/// Reads the text of a part from the platform or a peer; returns nothing where
/// the source doesn't have it.
using PartReader =
    std::function<std::optional<std::string>(const Digest& digest)>;

/// Returns the configuration described by `head`. Parts that `current` has are
/// reused; the others are read by `read_part`. Throws Error(TemplateInvalid)
/// where a part is missing or does not match its digest.
ConfigurationState::ConfigurationPtr
load_configuration(ConfigurationHead head,
                   const ConfigurationState::ConfigurationPtr& current,
                   const PartReader& read_part);

} // namespace crosslink
