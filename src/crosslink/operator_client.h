// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>

#include <string>
#include <string_view>

namespace CLI
{
class App;
}

namespace crosslink
{

/// How an operator's subcommand reaches the instances.
struct OperatorAccess {
    std::string instance;    ///< Peer address of any entry instance.
    std::string secret_file; ///< File with the secret that instances share.
};

/// Adds the options that fill in `access` to `command`. Both options must be
/// given if `required` is set.
void add_access_options(CLI::App& command, OperatorAccess& access,
                        bool required);
/// Reads the first line of the secret file. Throws Error(SettingsInvalid).
std::string read_secret(const std::string& path);
/// Requests `path`, /status or /report, from the instance at `address`. Throws
/// Error(PeerUnavailable).
Json::Value fetch_from_instance(const std::string& address,
                                const std::string& secret,
                                std::string_view path);

} // namespace crosslink
