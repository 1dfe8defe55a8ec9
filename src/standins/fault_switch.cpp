// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "fault_switch.h"

#include <crosslink/base/error.h>

#include <array>
#include <chrono>
#include <thread>

namespace crosslink::standins
{

namespace
{

struct KindName {
    std::string_view name;
    FaultKind kind;
};

constexpr std::array kind_names{
    KindName{"delay", FaultKind::Delay},
    KindName{"freeze", FaultKind::Freeze},
    KindName{"refuse", FaultKind::Refuse},
    KindName{"drop_request", FaultKind::DropRequest},
    KindName{"drop_answer", FaultKind::DropAnswer},
    KindName{"fail_after", FaultKind::FailAfter},
    KindName{"cut_answer", FaultKind::CutAnswer},
};

FaultKind
kind_of(std::string_view name)
{
    for (const KindName& row : kind_names)
        if (row.name == name)
            return row.kind;
    throw Error(ErrorCode::BadRequest, "not a kind of fault");
}

} // namespace

void
FaultSwitch::add(const Json::Value& order)
{
    Fault fault;
    fault.path = json_string(order, "path", "/");
    fault.kind = kind_of(json_string(order, "kind"));
    fault.ms = json_uint32(order, "ms");
    fault.skip = json_uint32(order, "skip");
    fault.count = json_uint32(order, "count");
    const std::lock_guard lock(m_mutex);
    m_faults.push_back(fault);
}

void
FaultSwitch::clear()
{
    const std::lock_guard lock(m_mutex);
    m_faults.clear();
    ++m_clears;
}

std::optional<Fault>
FaultSwitch::meets(std::string_view path)
{
    const std::lock_guard lock(m_mutex);
    for (auto at = m_faults.begin(); at != m_faults.end(); ++at) {
        if (!path.starts_with(at->path))
            continue;
        if (at->skip > 0) {
            --at->skip;
            continue;
        }
        const Fault fault = *at;
        if (at->count == 1)
            m_faults.erase(at);
        else if (at->count > 1)
            --at->count;
        return fault;
    }
    return std::nullopt;
}

void
FaultSwitch::wait_for_clear()
{
    constexpr auto step = std::chrono::milliseconds(5);
    std::uint64_t seen = 0;
    {
        const std::lock_guard lock(m_mutex);
        seen = m_clears;
    }
    for (;;) {
        std::this_thread::sleep_for(step);
        const std::lock_guard lock(m_mutex);
        if (m_clears != seen)
            return;
    }
}

} // namespace crosslink::standins
