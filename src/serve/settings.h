// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>
#include <crosslink/route/router.h>

#include <cstdint>
#include <string>
#include <vector>

namespace CLI
{
class App;
}

namespace crosslink
{

/// The settings of an entry instance, fixed at its start.
struct Settings {
    std::string bind;               ///< Address for callers.
    std::string peer_bind;          ///< Address for peers and operators.
    std::string advertise;          ///< Peer address that peers connect to.
    std::string zone;               ///< Availability zone.
    std::string platform;           ///< Address of the platform's service.
    std::string fleet_secret;       ///< Read from the secret file.
    std::vector<std::string> seeds; ///< Peer addresses known at startup.
    Micros platform_timeout{0};
    Micros upstream_timeout{0}; ///< Longest silence of an upstream.
    Micros connect_timeout{0};
    Micros list_period{0};
    Micros load_period{0};
    Micros poll_period{0}; ///< Slow poll for the configuration.
    Micros stop_quiet{0};  ///< Time without a request before a stop
                           ///< closes the port.
    Micros stop_grace{0};  ///< Longest wait for running answers at a stop.
    std::uint64_t most_body_bytes = 0;
    std::uint32_t most_running = 0;
    std::uint32_t most_waiting = 0;
    std::uint32_t most_attempts = 0;
    std::uint64_t claim_age_ms = 0;
    std::uint64_t kept_answer_bytes = 0;
    RoutePolicy route_policy = RoutePolicy::Priced;
    RouteTerms route_terms;
    std::string log_level;
    std::string log_format;
};

/// One flag with its environment variable, default and check.
struct SettingSpec {
    const char* flag; ///< Like "--bind"; the variable is CROSSLINK_BIND.
    const char* description;
    const char* fallback; ///< Default text.
    const char* range;    ///< Valid values, as shown in help and errors.
    /// Parses `text` into `settings`. Returns false where it is invalid.
    bool (*put)(Settings& settings, const std::string& text);
};

/// Returns the table of all settings of `serve`.
const std::vector<SettingSpec>& setting_specs();

/// The raw texts of the settings, as the command line collects them.
class SettingTexts
{
public:
    /// Adds one option for each setting to the subcommand `verb`, with its
    /// environment variable.
    explicit SettingTexts(CLI::App& verb);
    /// Parses and checks all settings. Throws Error(SettingsInvalid) that lists
    /// every invalid setting with its flag, value and valid range.
    Settings checked() const;

private:
    std::vector<std::string> m_texts;
};

/// Returns the name of the environment variable of `flag`.
std::string variable_of(const std::string& flag);

} // namespace crosslink
