// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/error.h>
#include <crosslink/configuration/configuration_commit.h>

#include <set>

namespace crosslink
{

namespace
{

/// Attempts at a write whose outcome is unknown; after each, the record is read
/// back.
constexpr int max_attempts = 5;

void
write_part(Platform& platform, const Digest& digest, const std::string& text)
{
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        try {
            // The key holds the digest: a record that exists has the same text.
            platform.write_if(configuration_part_key(digest), text, 0);
            return;
        } catch (const Error& failure) {
            if (failure.code() != ErrorCode::PlatformOutcomeUnknown)
                throw;
        }
        if (platform.read(configuration_part_key(digest)))
            return;
    }
    throw Error(ErrorCode::PlatformOutcomeUnknown,
                "it is unknown whether a part was written");
}

[[noreturn]] void
throw_conflict(const ConfigurationHead& winner)
{
    throw Error(ErrorCode::RevisionConflict,
                "another change was faster: revision " +
                    std::to_string(winner.revision) +
                    " is in place; nothing was changed");
}

} // namespace

HeadRecord
read_head(Platform& platform)
{
    const auto record = platform.read(configuration_head_key);
    if (!record)
        return {};
    return {ConfigurationHead::from_json(record->value), record->version};
}

ConfigurationHead
commit_configuration(Platform& platform, const HeadRecord& base,
                     const std::map<std::string, std::string>& parts,
                     const ConfigurationChange& change)
{
    std::map<std::string, Digest> digests;
    for (const auto& [name, text] : parts) {
        digests[name] = sha256(text);
        write_part(platform, digests[name], text);
    }
    ConfigurationHead next = base.head.next(digests, change);
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        try {
            const SwapOutcome outcome = platform.write_if(
                configuration_head_key, next.to_json(), base.version);
            if (outcome.applied)
                return next;
        } catch (const Error& failure) {
            if (failure.code() != ErrorCode::PlatformOutcomeUnknown)
                throw;
        }
        // Another change was first, or this one was applied and the answer was
        // lost: the change id tells which.
        const HeadRecord now = read_head(platform);
        if (now.head.has_change(change.change_id))
            return next;
        if (now.version != base.version)
            throw_conflict(now.head);
    }
    throw Error(ErrorCode::PlatformOutcomeUnknown,
                "it is unknown whether the change is in place");
}

void
remove_old_parts(Platform& platform, const ConfigurationHead& head,
                 const ConfigurationHead& before)
{
    std::set<std::string> referenced;
    for (const auto* kept : {&head, &before})
        for (const auto& [name, digest] : kept->parts)
            referenced.insert(configuration_part_key(digest));
    for (const NamedRecord& record : platform.list(configuration_part_prefix))
        if (!referenced.contains(record.key))
            platform.remove_if(record.key, record.record.version);
}

} // namespace crosslink
