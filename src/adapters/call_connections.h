// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace crosslink
{

class CallConnection;

/// Idle connections to runners, kept for the next call. Those whose time is
/// over are closed with the next use of any, also where no call goes to their
/// runner again. Safe for many threads.
class CallConnections
{
public:
    /// An idle connection whose end its runner does not tell is used so long.
    static constexpr Micros idle_untold = std::chrono::seconds(4);

    CallConnections();
    ~CallConnections();
    CallConnections(const CallConnections&) = delete;
    CallConnections& operator=(const CallConnections&) = delete;

    /// Returns an idle connection to `address` that is still usable and was
    /// put back after `proven_since`, or null.
    std::unique_ptr<CallConnection> take(const std::string& address,
                                         TimePoint now,
                                         TimePoint proven_since = {});
    /// Keeps a connection whose answer was read to its end, for `idle_time`.
    void put_back(const std::string& address,
                  std::unique_ptr<CallConnection> connection, Micros idle_time,
                  TimePoint now);
    /// As put_back(), for as long as the other side keeps an idle connection
    /// open, less a margin: `keep_alive` as it states; 0 if it does not, and
    /// nothing if it closes the connection now.
    void put_back_told(const std::string& address,
                       std::unique_ptr<CallConnection> connection,
                       std::optional<Micros> keep_alive, TimePoint now);
    /// Closes the idle connections to `address` that were put back before
    /// `proven`: one that was used then says nothing, and they may be as dead.
    void drop_unproven(const std::string& address, TimePoint proven);

private:
    struct IdleConnection {
        std::unique_ptr<CallConnection> connection;
        TimePoint put_back_at{};
        TimePoint usable_until{};
    };
    using Idle = std::vector<IdleConnection>;

    void drop_overdue(Idle& dropped, TimePoint now);

    std::mutex m_mutex;
    std::map<std::string, Idle> m_idle; ///< By address; none is empty.
    TimePoint m_next_drop{};
};

} // namespace crosslink
