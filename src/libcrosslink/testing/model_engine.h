// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <algorithm>
#include <cstdint>
#include <list>
#include <vector>

namespace crosslink::testing
{

/// What a call asks of a model engine.
struct EngineWork {
    std::uint64_t call = 0;     ///< Its number.
    std::uint32_t priority = 0; ///< Lower ones are admitted first.
    double resident = 0;        ///< Tokens of memory.
    double to_read = 0;         ///< Prompt tokens.
    double to_make = 0;         ///< Output tokens.
};

/// An engine that batches calls: memory bounds how many run, prompts are read
/// one after the other, and every token of output takes longer while a prompt
/// is read beside it.
class ModelEngine
{
public:
    /// `speed` divides all its times; 1 reads 48 tokens a millisecond.
    explicit ModelEngine(double speed = 1, double memory = 70'000)
        : m_speed(speed), m_memory(memory)
    {
    }

    /// Divides all times by `factor` from now on; 0 stalls the engine.
    void set_factor(double factor) { m_factor = factor; }

    void take(const EngineWork& work)
    {
        const auto later = std::find_if(
            m_waiting.begin(), m_waiting.end(), [&work](const auto& other) {
                return other.priority > work.priority;
            });
        m_waiting.insert(later, work);
    }

    /// Ends a call whose caller left.
    void drop(std::uint64_t call)
    {
        const auto is_it = [call](const EngineWork& work) {
            return work.call == call;
        };
        std::erase_if(m_waiting, is_it);
        std::erase_if(m_running, is_it);
    }

    /// Works for `span` of milliseconds. Adds the calls that made their first
    /// token to `begun`, and those that ended to `ended`.
    void work(double span, std::vector<std::uint64_t>& begun,
              std::vector<std::uint64_t>& ended)
    {
        admit();
        const double speed = m_speed * m_factor;
        const bool reads = read(span * speed, begun);
        const double step_ms = reads ? reading_step_ms : plain_step_ms;
        for (EngineWork& work : m_running)
            if (work.to_read <= 0)
                work.to_make -= span * speed / step_ms;
        std::erase_if(m_running, [&ended](const EngineWork& work) {
            const bool over = work.to_read <= 0 && work.to_make <= 0;
            if (over)
                ended.push_back(work.call);
            return over;
        });
    }

private:
    static constexpr double tokens_per_ms = 48;
    static constexpr double plain_step_ms = 5;
    /// A step beside which a piece of 2,048 prompt tokens is read.
    static constexpr double reading_step_ms = 47;

    void admit()
    {
        double used = 0;
        for (const EngineWork& work : m_running)
            used += work.resident;
        while (!m_waiting.empty() &&
               used + m_waiting.front().resident <= m_memory) {
            used += m_waiting.front().resident;
            m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
        }
    }

    bool read(double span, std::vector<std::uint64_t>& begun)
    {
        double tokens = span * tokens_per_ms;
        for (EngineWork& work : m_running) {
            if (work.to_read <= 0)
                continue;
            const double now = std::min(tokens, work.to_read);
            work.to_read -= now;
            tokens -= now;
            if (work.to_read <= 0)
                begun.push_back(work.call);
            if (tokens <= 0)
                return true;
        }
        return false;
    }

    const double m_speed;
    const double m_memory;
    double m_factor = 1;
    std::list<EngineWork> m_waiting; ///< By priority, then as they came.
    std::list<EngineWork> m_running;
};

} // namespace crosslink::testing
