// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "model_stores.h"

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
    double to_read = 0;         ///< Prompt tokens, without the shared parts.
    double to_make = 0;         ///< Output tokens.
    /// Shared parts of the prompt, which `resident` does not include.
    std::vector<EnginePart> parts{};
    double fetched_at = 0; ///< When the parts that are fetched are there.
};

/// An engine that batches calls: memory bounds how many run, prompts are read
/// one after the other, and every token of output takes longer while a prompt
/// is read beside it. Shared parts stay in memory that no call needs.
class ModelEngine
{
public:
    /// `speed` divides all its times; 1 reads 48 tokens a millisecond.
    explicit ModelEngine(double speed = 1, double memory = 70'000,
                         ModelStores* stores = nullptr)
        : m_speed(speed), m_memory(memory), m_stores(stores)
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
        std::erase_if(m_running, [this, &is_it](const EngineWork& work) {
            if (is_it(work))
                release(work);
            return is_it(work);
        });
    }

    /// Works for `span` of milliseconds. Adds the calls that made their first
    /// token to `begun`, and those that ended to `ended`.
    void work(double span, std::vector<std::uint64_t>& begun,
              std::vector<std::uint64_t>& ended)
    {
        m_now_ms += span;
        admit();
        const double speed = m_speed * m_factor;
        const bool reads = read(span * speed, begun);
        const double step_ms = reads ? reading_step_ms : plain_step_ms;
        for (EngineWork& work : m_running)
            if (has_begun(work))
                work.to_make -= span * speed / step_ms;
        std::erase_if(m_running, [this, &ended](const EngineWork& work) {
            const bool over = has_begun(work) && work.to_make <= 0;
            if (over) {
                release(work);
                ended.push_back(work.call);
            }
            return over;
        });
    }

private:
    static constexpr double tokens_per_ms = 48;
    static constexpr double plain_step_ms = 5;
    /// A step beside which a piece of 2,048 prompt tokens is read.
    static constexpr double reading_step_ms = 47;

    bool has_begun(const EngineWork& work) const
    {
        return work.to_read <= 0 && work.fetched_at <= m_now_ms;
    }

    void admit()
    {
        double used = 0;
        for (const EngineWork& work : m_running)
            used += work.resident;
        while (!m_waiting.empty() && has_room(m_waiting.front(), used)) {
            used += m_waiting.front().resident;
            take_parts(m_waiting.front());
            m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
        }
    }

    /// Returns whether `work` fits beside calls that use `used` tokens, and
    /// makes room for it.
    bool has_room(const EngineWork& work, double used)
    {
        double needed = used + work.resident;
        for (const EnginePart& part : work.parts)
            if (!m_cache.contains(part.id))
                needed += part.tokens;
        // What the call itself uses must not make room.
        std::vector<std::uint64_t> own;
        for (const EnginePart& part : work.parts)
            if (m_cache.use(part.id))
                own.push_back(part.id);
        m_cache.shrink(m_memory - needed);
        for (const std::uint64_t id : own)
            m_cache.release(id);
        return needed + m_cache.tokens() <= m_memory;
    }

    /// Uses the parts that are in memory, one after the other; what follows the
    /// first one that is not there is fetched or read.
    void take_parts(EngineWork& work)
    {
        bool found = true;
        for (const EnginePart& part : work.parts) {
            const bool is_kept = m_cache.use(part.id);
            found = found && is_kept;
            if (!is_kept)
                m_cache.add(part);
            if (found) {
                m_stores->tally.in_memory += part.tokens;
                continue;
            }
            if (const auto at = m_stores->bring(part, m_now_ms))
                work.fetched_at = std::max(work.fetched_at, *at);
            else
                work.to_read += part.tokens;
        }
        if (m_stores)
            m_stores->tally.own += work.resident;
    }

    void release(const EngineWork& work)
    {
        for (const EnginePart& part : work.parts)
            m_cache.release(part.id);
    }

    bool read(double span, std::vector<std::uint64_t>& begun)
    {
        double tokens = span * tokens_per_ms;
        for (EngineWork& work : m_running) {
            if (work.to_read <= 0 || work.fetched_at > m_now_ms)
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
    ModelStores* const m_stores; ///< Null if no call has shared parts.
    PrefixCache m_cache;
    double m_now_ms = 0;
    double m_factor = 1;
    std::list<EngineWork> m_waiting; ///< By priority, then as they came.
    std::list<EngineWork> m_running;
};

} // namespace crosslink::testing
