// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/configuration/configuration.h>

#include <string_view>

namespace crosslink
{

/// Returns the client account whose API key the Authorization header carries
/// ("Bearer <key>", RFC 6750). The account lives as long as `configuration`.
/// Throws Error with MissingKey or UnknownKey. Only hashes are compared, so
/// that timing reveals nothing about the keys.
const ClientAccount& authenticate(const Configuration& configuration,
                                  std::string_view authorization);

} // namespace crosslink
