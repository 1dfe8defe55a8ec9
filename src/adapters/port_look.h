// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace crosslink
{

class CallConnection;
class SingleFields;

/// What became of a process whose connection broke, by its port.
enum class ProcessFate {
    Alive,   ///< It takes connections: only that one broke.
    Ended,   ///< Its port is closed.
    Unknown, ///< It says nothing: it may be cut off.
};

/// What a look at a port found.
struct PortLook {
    ProcessFate fate = ProcessFate::Unknown;
    /// A connection that was made to look; null unless Alive.
    std::unique_ptr<CallConnection> connection;
};

/// Looks whether the process at "ip:port" still takes connections. A port on a
/// machine that is there answers or refuses in one turn on the way; blocks for
/// 100 ms at the most. `single_fields` is for the calls that the connection may
/// carry later.
PortLook look_at_port(const std::string& address,
                      const SingleFields& single_fields);

/// Returns the name of `fate` for the log.
const char* fate_name(ProcessFate fate);
/// Returns the fate with the name; nothing if there is none.
std::optional<ProcessFate> fate_from_name(std::string_view name);

} // namespace crosslink
