// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "port_look.h"

#include "call_connection.h"

#include <Poco/Net/NetException.h>

namespace crosslink
{

namespace
{

/// The caller waits for the look.
constexpr Micros look_time = std::chrono::milliseconds(100);

} // namespace

PortLook
look_at_port(const std::string& address, const SingleFields& single_fields)
{
    try {
        return {ProcessFate::Alive, std::make_unique<CallConnection>(
                                        address, look_time, single_fields)};
    } catch (const Poco::Net::ConnectionRefusedException&) {
        return {ProcessFate::Ended, nullptr};
    } catch (const Poco::Exception&) {
        return {ProcessFate::Unknown, nullptr};
    }
}

const char*
fate_name(ProcessFate fate)
{
    switch (fate) {
    case ProcessFate::Alive:
        return "alive";
    case ProcessFate::Ended:
        return "ended";
    case ProcessFate::Unknown:
        break;
    }
    return "unknown";
}

std::optional<ProcessFate>
fate_from_name(std::string_view name)
{
    for (const ProcessFate fate :
         {ProcessFate::Alive, ProcessFate::Ended, ProcessFate::Unknown})
        if (name == fate_name(fate))
            return fate;
    return std::nullopt;
}

} // namespace crosslink
