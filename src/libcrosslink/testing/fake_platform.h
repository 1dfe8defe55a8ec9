// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/error.h>
#include <crosslink/ports/platform.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace crosslink::testing
{

/// What happens to one call of the fake platform.
enum class Fate {
    Answer,         ///< It takes effect and is answered.
    Refuse,         ///< PlatformUnavailable, no effect.
    LoseRequest,    ///< PlatformOutcomeUnknown, no effect.
    LoseAnswer,     ///< PlatformOutcomeUnknown, after the effect.
    DelayPastAnswer ///< PlatformOutcomeUnknown; the effect comes later.
};

/// The platform's key-value service in memory, with faults chosen by the test
/// before each call. Whatever `before_call` does happens while the caller is
/// paused in the middle of its step.
class FakePlatform : public Platform
{
public:
    std::function<void()> before_call = [] {};
    std::function<Fate()> next_fate = [] { return Fate::Answer; };

    std::optional<PlatformRecord> read(std::string_view key) override
    {
        before_call();
        const Fate fate = next_fate();
        if (fate == Fate::Refuse || fate == Fate::LoseRequest)
            fail(ErrorCode::PlatformUnavailable);
        const auto found = records.find(std::string(key));
        if (found == records.end())
            return std::nullopt;
        return found->second;
    }

    std::vector<NamedRecord> list(std::string_view prefix) override
    {
        std::vector<NamedRecord> result;
        for (const auto& [key, record] : records)
            if (key.starts_with(prefix))
                result.push_back({key, record});
        return result;
    }

    SwapOutcome write_if(std::string_view key, std::string_view value,
                         std::uint64_t expected) override
    {
        before_call();
        const std::string name(key);
        const std::string text(value);
        const auto effect = [this, name, text, expected] {
            if (version_of(name) != expected)
                return SwapOutcome{false, version_of(name)};
            records[name] = {text, ++versions[name]};
            return SwapOutcome{true, versions[name]};
        };
        switch (next_fate()) {
        case Fate::Refuse:
            fail(ErrorCode::PlatformUnavailable);
        case Fate::LoseRequest:
            fail(ErrorCode::PlatformOutcomeUnknown);
        case Fate::LoseAnswer:
            effect();
            fail(ErrorCode::PlatformOutcomeUnknown);
        case Fate::DelayPastAnswer:
            delayed.emplace_back(effect);
            fail(ErrorCode::PlatformOutcomeUnknown);
        case Fate::Answer:
            break;
        }
        ++writes;
        return effect();
    }

    SwapOutcome remove_if(std::string_view key, std::uint64_t expected) override
    {
        before_call();
        const std::string name(key);
        if (version_of(name) == 0 || version_of(name) != expected)
            return {false, version_of(name)};
        records.erase(name);
        return {true, 0};
    }

    std::optional<PlatformRecord> watch(std::string_view, std::uint64_t,
                                        Micros) override
    {
        return std::nullopt;
    }
    std::optional<PlatformLease> take_lease(std::string_view, std::string_view,
                                            Micros) override
    {
        return std::nullopt;
    }
    void release_lease(std::string_view, std::uint64_t) override {}
    std::vector<ListedInstance> instances() override { return {}; }
    void announce(const ListedInstance&) override {}

    /// Lets the oldest delayed write take its effect.
    void deliver_delayed()
    {
        if (delayed.empty())
            return;
        delayed.front()();
        delayed.erase(delayed.begin());
    }

    std::uint64_t version_of(const std::string& name) const
    {
        const auto found = records.find(name);
        return found == records.end() ? 0 : found->second.version;
    }

    std::map<std::string, PlatformRecord> records;
    std::map<std::string, std::uint64_t> versions;
    std::vector<std::function<SwapOutcome()>> delayed;
    std::uint64_t writes = 0;

private:
    [[noreturn]] static void fail(ErrorCode code)
    {
        throw Error(code, "by order of the test");
    }
};

} // namespace crosslink::testing
