// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/configuration/client_account.h>

namespace crosslink
{

namespace
{

constexpr std::uint64_t split_buckets = 100;

bool
has_path_prefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    if (prefix.ends_with('/') || path.size() == prefix.size())
        return true;
    const char next = path[prefix.size()];
    return next == '/' || next == '?';
}

} // namespace

const ModelGrant*
AccountPolicy::grant_for(std::string_view model) const
{
    for (const ModelGrant& grant : models)
        if (grant.model == model)
            return &grant;
    return nullptr;
}

const PlainServiceGrant*
AccountPolicy::service_for(std::string_view path) const
{
    const PlainServiceGrant* best = nullptr;
    for (const PlainServiceGrant& grant : plain_services) {
        if (!has_path_prefix(path, grant.path_prefix))
            continue;
        if (!best || grant.path_prefix.size() > best->path_prefix.size())
            best = &grant;
    }
    return best;
}

const TrafficSplit*
AccountPolicy::split_for(std::string_view call_class) const
{
    for (const TrafficSplit& split : splits)
        if (split.call_class == call_class)
            return &split;
    return nullptr;
}

bool
is_not_repeatable(const PlainServiceGrant& service, std::string_view method,
                  std::string_view path)
{
    for (const NotRepeatable& call : service.not_repeatable)
        if (call.method == method && has_path_prefix(path, call.path_prefix))
            return true;
    return false;
}

bool
goes_to_new_fleet(const TrafficSplit& split, std::string_view caller)
{
    const Digest digest = hmac_sha256(split.call_class, caller);
    return digest.prefix() % split_buckets < split.new_share;
}

} // namespace crosslink
