// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace crosslink
{

/// When a runner last answered a call with each of a bounded number of keys.
/// Keys that are answered again and again stay; of the others, the oldest are
/// forgotten.
class LastAnswers
{
public:
    /// At least 1.
    explicit LastAnswers(std::size_t most_keys) : m_most_keys(most_keys) {}

    /// Records an answer.
    void answered(std::string_view key, TimePoint at);
    /// Returns when the last answer came, or nothing if none is remembered.
    std::optional<TimePoint> last(std::string_view key) const;

private:
    struct Answer {
        TimePoint at{};
        bool repeated = false; ///< Answered again since it was last spared.
    };

    void forget_one();

    std::size_t m_most_keys;
    std::map<std::string, Answer, std::less<>> m_answers;
    std::deque<std::string> m_order; ///< Of insertion, or of being spared.
};

} // namespace crosslink
