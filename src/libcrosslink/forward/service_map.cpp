// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/forward/service_map.h>

#include <algorithm>
#include <cctype>

namespace crosslink
{

namespace
{

std::string
lower_case(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) {
                       return static_cast<char>(std::tolower(letter));
                   });
    return result;
}

/// Returns `host` without a port. An address in brackets may hold colons.
std::string_view
without_port(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const std::size_t bracket = host.rfind(']');
    const bool is_port =
        colon != std::string_view::npos &&
        (bracket == std::string_view::npos || bracket < colon) &&
        host.find_first_not_of("0123456789", colon + 1) ==
            std::string_view::npos;
    return is_port ? host.substr(0, colon) : host;
}

} // namespace

const std::string&
ServiceRoute::pick_service(std::uint64_t random) const
{
    std::uint64_t total = 0;
    for (const WeightedService& item : services)
        total += item.weight;
    if (total == 0)
        return services.front().service;
    std::uint64_t point = random % total;
    for (const WeightedService& item : services) {
        if (point < item.weight)
            return item.service;
        point -= item.weight;
    }
    return services.back().service;
}

std::set<std::string, std::less<>>
ServiceRoute::picked_services() const
{
    std::set<std::string, std::less<>> picked;
    for (const WeightedService& item : services)
        if (item.weight > 0)
            picked.insert(item.service);
    if (picked.empty())
        picked.insert(services.front().service);
    return picked;
}

void
ServiceMap::for_each_route(
    const std::function<void(const ServiceRoute&)>& use) const
{
    for (const auto& [host, prefixes] : m_hosts)
        for (const auto& [prefix, route] : prefixes)
            use(route);
}

void
ServiceMap::add_route(ServiceRoute route)
{
    ByPrefix& prefixes = m_hosts[lower_case(route.host)];
    const std::string prefix = route.path_prefix;
    if (prefixes.insert_or_assign(prefix, std::move(route)).second)
        ++m_routes;
}

void
ServiceMap::add_key(std::string key, std::size_t index)
{
    m_keys.insert_or_assign(std::move(key), index);
}

const ServiceRoute*
ServiceMap::find_route(std::string_view host, std::string_view path) const
{
    const std::string name = lower_case(host);
    auto prefixes = m_hosts.find(name);
    if (prefixes == m_hosts.end())
        prefixes = m_hosts.find(without_port(name));
    if (prefixes == m_hosts.end())
        return nullptr;
    // Prefixes end with a slash, so that only parts of the path that end with
    // one can match. The longest is looked up first.
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
            return &found->second;
        if (slash == 0)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const AccountSettings*
ServiceMap::find_account(std::string_view key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : &accounts[found->second];
}

const KeptStoreInfo*
ServiceMap::find_store(std::string_view address) const
{
    const auto found = std::find_if(stores.begin(), stores.end(),
                                    [address](const KeptStoreInfo& store) {
                                        return store.address == address;
                                    });
    return found == stores.end() ? nullptr : &*found;
}

} // namespace crosslink
