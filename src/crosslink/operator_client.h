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

/// How an operator's verb reaches the instances.
struct OperatorAccess {
    std::string instance;    ///< Peer address of any entry instance.
    std::string secret_file; ///< File with the fleet's secret.
};

/// Adds the options that `access` takes to `verb`; both are required where
/// `required` says so.
void add_access_options(CLI::App& verb, OperatorAccess& access, bool required);
/// Reads the first line of the secret file. Throws Error(SettingsInvalid).
std::string read_secret(const std::string& path);
/// Asks an instance for /status or /report. Throws Error(PeerUnavailable).
Json::Value ask_instance(const std::string& address, const std::string& secret,
                         std::string_view path);

} // namespace crosslink
