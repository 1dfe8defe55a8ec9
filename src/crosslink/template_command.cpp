// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "commands.h"
#include "operator_client.h"
#include "template_files.h"

#include <adapters/clock.h>
#include <adapters/platform_http.h>
#include <adapters/random.h>

#include <crosslink/base/error.h>
#include <crosslink/configuration/configuration_commit.h>

#include <CLI/CLI.hpp>

#include <cstdio>
#include <memory>
#include <set>
#include <thread>

namespace crosslink
{

namespace
{

struct TemplateOptions {
    std::string directory;
    std::string platform;
    std::string author = "operator";
    OperatorAccess access;
    std::uint64_t base_revision = 0; ///< 0: the current revision.
    bool wait = false;
    std::uint32_t wait_seconds = 18;
};

/// Interval at which instances are polled for the revision they have in force.
constexpr auto poll_interval = std::chrono::milliseconds(100);

PlatformHttp
platform_client(const TemplateOptions& options)
{
    constexpr Micros connect = std::chrono::seconds(1);
    constexpr Micros receive = std::chrono::seconds(3);
    return PlatformHttp(options.platform, {connect, receive});
}

/// Declarations by "kind/name".
using Declarations = std::map<std::string, Json::Value>;

/// Returns the declarations in the JSON texts of `parts`.
Declarations
declarations_of(const std::map<std::string, std::string>& parts)
{
    Declarations result;
    for (const auto& [part, text] : parts) {
        const Json::Value document = parse_json(text);
        for (const char* kind : {"templates", "accounts"})
            for (const Json::Value& item : document[kind])
                result[std::string(kind) + "/" + json_string(item, "name")] =
                    item;
    }
    return result;
}

std::map<std::string, std::string>
stored_parts(Platform& platform, const ConfigurationHead& head)
{
    std::map<std::string, std::string> parts;
    for (const auto& [name, digest] : head.parts) {
        const auto record = platform.read(configuration_part_key(digest));
        if (!record)
            throw Error(ErrorCode::PlatformUnavailable,
                        "a part is missing: " + name);
        parts[name] = record->value;
    }
    return parts;
}

/// Prints the declarations that differ between `before` and `after`, and
/// returns their number.
std::size_t
print_changes(const Declarations& before, const Declarations& after)
{
    std::size_t changes = 0;
    for (const auto& [name, body] : after) {
        const auto found = before.find(name);
        if (found != before.end() && found->second == body)
            continue;
        std::printf("%c %s\n", found == before.end() ? '+' : '~', name.c_str());
        ++changes;
    }
    for (const auto& [name, body] : before) {
        if (after.contains(name))
            continue;
        std::printf("- %s\n", name.c_str());
        ++changes;
    }
    return changes;
}

void
check(const TemplateOptions& options)
{
    TemplateSet set = read_templates(options.directory);
    check_templates(set);
    std::printf("ok\n");
}

void
diff(const TemplateOptions& options)
{
    TemplateSet set = read_templates(options.directory);
    check_templates(set);
    PlatformHttp platform = platform_client(options);
    const HeadRecord base = read_head(platform);
    const std::size_t changes =
        print_changes(declarations_of(stored_parts(platform, base.head)),
                      declarations_of(set.parts()));
    std::printf("%zu changes against revision %llu\n", changes,
                static_cast<unsigned long long>(base.head.revision));
}

/// Returns the addresses of the live members that do not have `revision` in
/// force or can't be reached. `access.instance` supplies the list of members.
std::set<std::string>
members_behind(const OperatorAccess& access, const std::string& secret,
               std::uint64_t revision)
{
    std::set<std::string> result;
    const Json::Value status =
        fetch_from_instance(access.instance, secret, "/status");
    for (const Json::Value& member : status["members"]) {
        const std::string state = json_string(member, "state");
        if (state == "dead" || state == "leaving")
            continue;
        const std::string address = json_string(member, "address");
        try {
            const Json::Value own =
                fetch_from_instance(address, secret, "/status");
            if (json_uint64(own, "revision") < revision)
                result.insert(address);
        } catch (const Error&) {
            result.insert(address + " (not reached)");
        }
    }
    return result;
}

void
wait_until_in_force(const TemplateOptions& options, std::uint64_t revision)
{
    const std::string secret = read_secret(options.access.secret_file);
    const TimePoint deadline =
        monotonic_now() + std::chrono::seconds(options.wait_seconds);
    std::set<std::string> missing;
    do {
        missing = members_behind(options.access, secret, revision);
        if (missing.empty()) {
            std::printf("in force everywhere\n");
            return;
        }
        std::this_thread::sleep_for(poll_interval);
    } while (monotonic_now() < deadline);
    std::string names;
    for (const std::string& name : missing)
        names += " " + name;
    throw Error(ErrorCode::NotReady, "not seen in force at:" + names);
}

void
apply(const TemplateOptions& options)
{
    TemplateSet set = read_templates(options.directory);
    check_templates(set);
    if (options.wait && options.access.instance.empty())
        throw Error(ErrorCode::SettingsInvalid, "--wait needs --instance");
    PlatformHttp platform = platform_client(options);
    const HeadRecord base = read_head(platform);
    if (options.base_revision != 0 &&
        base.head.revision != options.base_revision)
        throw Error(ErrorCode::RevisionConflict,
                    "revision " + std::to_string(base.head.revision) +
                        " is in place, not " +
                        std::to_string(options.base_revision));
    ConfigurationChange change;
    change.change_id = random_name();
    change.author = options.author;
    change.applied_at = unix_now();
    const ConfigurationHead head =
        commit_configuration(platform, base, set.parts(), change);
    std::printf("revision %llu is accepted\n",
                static_cast<unsigned long long>(head.revision));
    std::fflush(stdout);
    remove_old_parts(platform, head, base.head);
    if (options.wait)
        wait_until_in_force(options, head.revision);
}

void
show(const TemplateOptions& options)
{
    PlatformHttp platform = platform_client(options);
    const HeadRecord base = read_head(platform);
    Json::Value value;
    value["revision"] = Json::UInt64(base.head.revision);
    for (const auto& [name, body] :
         declarations_of(stored_parts(platform, base.head)))
        value[name.substr(0, name.find('/'))].append(body);
    std::printf("%s\n", json_pretty(value).c_str());
}

void
history(const TemplateOptions& options)
{
    PlatformHttp platform = platform_client(options);
    for (const ConfigurationChange& change : read_head(platform).head.history)
        std::printf("%llu  %llu  %s  %s\n",
                    static_cast<unsigned long long>(change.revision),
                    static_cast<unsigned long long>(change.applied_at),
                    change.author.c_str(), change.change_id.c_str());
}

void
add_directory_argument(CLI::App& command, TemplateOptions& options)
{
    command
        .add_option("directory", options.directory,
                    "Directory of *.json declarations")
        ->required();
}

void
add_platform_option(CLI::App& command, TemplateOptions& options)
{
    command
        .add_option("--platform", options.platform,
                    "Address of the platform's service")
        ->envname("CROSSLINK_PLATFORM")
        ->required();
}

void
add_apply_command(CLI::App& parent,
                  const std::shared_ptr<TemplateOptions>& options)
{
    CLI::App& command =
        *parent.add_subcommand("apply", "Put the declarations in force");
    add_directory_argument(command, *options);
    add_platform_option(command, *options);
    command.add_option("--author", options->author, "Author of the change");
    command.add_option("--base-revision", options->base_revision,
                       "Revision that the change starts from");
    command.add_flag("--wait", options->wait,
                     "Return when it is in force everywhere");
    command
        .add_option("--wait-seconds", options->wait_seconds,
                    "Longest wait (1 to 3600)")
        ->check(CLI::Range(1, 3600));
    add_access_options(command, options->access, false);
    command.final_callback([options] { apply(*options); });
}

} // namespace

void
add_template_command(CLI::App& tool)
{
    CLI::App& command =
        *tool.add_subcommand("template", "Work with the declarations");
    command.require_subcommand(1);
    const auto options = std::make_shared<TemplateOptions>();
    CLI::App& check_command = *command.add_subcommand("check", "Find mistakes");
    add_directory_argument(check_command, *options);
    check_command.final_callback([options] { check(*options); });
    CLI::App& diff_command =
        *command.add_subcommand("diff", "Show what an apply would change");
    add_directory_argument(diff_command, *options);
    add_platform_option(diff_command, *options);
    diff_command.final_callback([options] { diff(*options); });
    add_apply_command(command, options);
    CLI::App& show_command =
        *command.add_subcommand("show", "Print what is in place");
    add_platform_option(show_command, *options);
    show_command.final_callback([options] { show(*options); });
    CLI::App& history_command =
        *command.add_subcommand("history", "List the latest changes");
    add_platform_option(history_command, *options);
    history_command.final_callback([options] { history(*options); });
}

} // namespace crosslink
