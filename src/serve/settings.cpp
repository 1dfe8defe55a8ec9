// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "settings.h"

#include <crosslink/base/error.h>
#include <crosslink/base/number.h>

#include <CLI/CLI.hpp>

#include <cctype>
#include <fstream>
#include <sstream>

namespace crosslink
{

namespace
{

constexpr std::size_t min_secret_bytes = 16;

template<typename Number>
bool
parse_number(Number& value, const std::string& text, Number low, Number high)
{
    const auto parsed = parse_integer<Number>(text);
    if (!parsed || *parsed < low || *parsed > high)
        return false;
    value = *parsed;
    return true;
}

bool
parse_milliseconds(Micros& value, const std::string& text, std::uint64_t low,
                   std::uint64_t high)
{
    std::uint64_t millis = 0;
    if (!parse_number(millis, text, low, high))
        return false;
    value = std::chrono::milliseconds(millis);
    return true;
}

/// Returns whether `text` is "ip:port" with a port of 0 to 65535.
bool
is_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    std::uint32_t port = 0;
    constexpr std::uint32_t last_port = 65'535;
    return parse_number(port, text.substr(colon + 1), 0U, last_port);
}

bool
parse_address(std::string& value, const std::string& text)
{
    if (!is_address(text))
        return false;
    value = text;
    return true;
}

bool
parse_seeds(std::vector<std::string>& seeds, const std::string& text)
{
    std::istringstream list(text);
    std::string item;
    while (std::getline(list, item, ',')) {
        if (!is_address(item))
            return false;
        seeds.push_back(item);
    }
    return true;
}

bool
parse_secret(std::string& secret, const std::string& path)
{
    std::ifstream file(path);
    if (!std::getline(file, secret))
        return false;
    return secret.size() >= min_secret_bytes;
}

bool
parse_one_of(std::string& value, const std::string& text,
             std::initializer_list<const char*> names)
{
    for (const char* name : names) {
        if (text == name) {
            value = text;
            return true;
        }
    }
    return false;
}

bool
parse_policy(RoutePolicy& policy, const std::string& text)
{
    if (text == "round-robin")
        policy = RoutePolicy::RoundRobin;
    else if (text == "least-load")
        policy = RoutePolicy::LeastLoad;
    else if (text == "prefix-affinity")
        policy = RoutePolicy::PrefixAffinity;
    else if (text == "priced")
        policy = RoutePolicy::Priced;
    else
        return false;
    return true;
}

bool
parse_without(RouteTerms& terms, const std::string& text)
{
    std::istringstream list(text);
    std::string item;
    while (std::getline(list, item, ',')) {
        if (item == "queue")
            terms.queue = false;
        else if (item == "own-sent")
            terms.own_sent = false;
        else if (item == "cache")
            terms.cache = false;
        else if (item == "fetch")
            terms.fetch = false;
        else if (item == "near-ties")
            terms.near_ties = false;
        else
            return false;
    }
    return true;
}

const std::vector<SettingSpec> specs{
    {"--bind", "Address for callers", "127.0.0.1:8080", "ip:port",
     [](Settings& s, const std::string& t) {
         return parse_address(s.bind, t);
     }},
    {"--peer-bind", "Address for peers and operators", "127.0.0.1:8081",
     "ip:port",
     [](Settings& s, const std::string& t) {
         return parse_address(s.peer_bind, t);
     }},
    {"--advertise", "Peer address that others use; empty: that of --peer-bind",
     "", "ip:port or empty",
     [](Settings& s, const std::string& t) {
         return t.empty() || parse_address(s.advertise, t);
     }},
    {"--zone", "Availability zone of this instance", "zone-a",
     "1 to 64 characters",
     [](Settings& s, const std::string& t) {
         constexpr std::size_t longest = 64;
         s.zone = t;
         return !t.empty() && t.size() <= longest;
     }},
    {"--platform", "Address of the platform's service", "127.0.0.1:7000",
     "ip:port",
     [](Settings& s, const std::string& t) {
         return parse_address(s.platform, t);
     }},
    {"--fleet-secret-file", "File whose first line is the fleet's secret", "",
     "a readable file with a first line of 16 characters or more",
     [](Settings& s, const std::string& t) {
         return parse_secret(s.fleet_secret, t);
     }},
    {"--seeds", "Peer addresses to begin with, for a start without platform",
     "", "ip:port,ip:port,... or empty",
     [](Settings& s, const std::string& t) { return parse_seeds(s.seeds, t); }},
    {"--platform-timeout-ms", "Longest wait for the platform", "1000",
     "10 to 60000",
     [](Settings& s, const std::string& t) {
         return parse_milliseconds(s.platform_timeout, t, 10, 60'000);
     }},
    {"--upstream-timeout-ms", "Longest silence of an upstream", "30000",
     "10 to 600000",
     [](Settings& s, const std::string& t) {
         return parse_milliseconds(s.upstream_timeout, t, 10, 600'000);
     }},
    {"--connect-timeout-ms", "Longest wait for a connection", "300",
     "1 to 60000",
     [](Settings& s, const std::string& t) {
         return parse_milliseconds(s.connect_timeout, t, 1, 60'000);
     }},
    {"--list-period-ms", "Time between two looks at the platform's list",
     "1000", "50 to 60000",
     [](Settings& s, const std::string& t) {
         return parse_milliseconds(s.list_period, t, 50, 60'000);
     }},
    {"--load-period-ms", "Time between two load reports of an engine", "200",
     "10 to 60000",
     [](Settings& s, const std::string& t) {
         return parse_milliseconds(s.load_period, t, 10, 60'000);
     }},
    {"--poll-period-ms", "Slow poll for the configuration, a safety net",
     "10000", "100 to 600000",
     [](Settings& s, const std::string& t) {
         return parse_milliseconds(s.poll_period, t, 100, 600'000);
     }},
    {"--stop-grace-ms", "Longest wait for running answers at a planned stop",
     "600000", "0 to 3600000",
     [](Settings& s, const std::string& t) {
         return parse_milliseconds(s.stop_grace, t, 0, 3'600'000);
     }},
    {"--stop-quiet-ms",
     "Time without a new request after which a stop closes the port", "2000",
     "0 to 60000",
     [](Settings& s, const std::string& t) {
         return parse_milliseconds(s.stop_quiet, t, 0, 60'000);
     }},
    {"--most-body-bytes", "Largest request body", "8388608",
     "1024 to 1073741824",
     [](Settings& s, const std::string& t) {
         return parse_number<std::uint64_t>(s.most_body_bytes, t, 1024,
                                            1U << 30U);
     }},
    {"--most-running", "Requests that run at once", "128", "1 to 4096",
     [](Settings& s, const std::string& t) {
         return parse_number<std::uint32_t>(s.most_running, t, 1, 4096);
     }},
    {"--most-waiting", "Requests that wait for a place", "256", "0 to 65536",
     [](Settings& s, const std::string& t) {
         return parse_number<std::uint32_t>(s.most_waiting, t, 0, 65'536);
     }},
    {"--most-attempts", "Attempts for one repeatable request", "3", "1 to 10",
     [](Settings& s, const std::string& t) {
         return parse_number<std::uint32_t>(s.most_attempts, t, 1, 10);
     }},
    {"--claim-age-ms", "Age limit of idempotency keys", "3600000",
     "1000 to 604800000",
     [](Settings& s, const std::string& t) {
         return parse_number<std::uint64_t>(s.claim_age_ms, t, 1000,
                                            604'800'000);
     }},
    {"--kept-answer-bytes", "Answers kept for retries of claimed calls",
     "16777216", "0 to 1073741824",
     [](Settings& s, const std::string& t) {
         return parse_number<std::uint64_t>(s.kept_answer_bytes, t, 0,
                                            1U << 30U);
     }},
    {"--route-policy", "How engines are chosen", "priced",
     "priced, round-robin, least-load or prefix-affinity",
     [](Settings& s, const std::string& t) {
         return parse_policy(s.route_policy, t);
     }},
    {"--route-without", "Terms left out of the price, for measurements", "",
     "queue,own-sent,cache,fetch,near-ties or empty",
     [](Settings& s, const std::string& t) {
         return parse_without(s.route_terms, t);
     }},
    {"--log-level", "What is logged", "info", "debug, info, warn, error or off",
     [](Settings& s, const std::string& t) {
         return parse_one_of(s.log_level, t,
                             {"debug", "info", "warn", "error", "off"});
     }},
    {"--log-format", "How it is logged", "text", "text or json",
     [](Settings& s, const std::string& t) {
         return parse_one_of(s.log_format, t, {"text", "json"});
     }},
};

} // namespace

const std::vector<SettingSpec>&
setting_specs()
{
    return specs;
}

std::string
variable_of(const std::string& flag)
{
    std::string name = "CROSSLINK";
    for (const char letter : flag.substr(1))
        name += letter == '-' ? '_'
                              : static_cast<char>(std::toupper(
                                    static_cast<unsigned char>(letter)));
    return name;
}

SettingTexts::SettingTexts(CLI::App& verb)
{
    m_texts.reserve(specs.size());
    for (const SettingSpec& spec : specs) {
        std::string& text = m_texts.emplace_back(spec.fallback);
        verb.add_option(spec.flag, text,
                        std::string(spec.description) + " (" + spec.range + ")")
            ->envname(variable_of(spec.flag))
            ->capture_default_str();
    }
}

Settings
SettingTexts::checked() const
{
    Settings settings;
    std::string mistakes;
    for (std::size_t i = 0; i < specs.size(); ++i) {
        if (specs[i].put(settings, m_texts[i]))
            continue;
        mistakes += std::string("\n  ") + specs[i].flag + " (" +
                    variable_of(specs[i].flag) + "): \"" + m_texts[i] +
                    "\" must be " + specs[i].range;
    }
    if (!mistakes.empty())
        throw Error(ErrorCode::SettingsInvalid, "wrong settings:" + mistakes);
    return settings;
}

} // namespace crosslink
