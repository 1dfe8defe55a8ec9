// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_state.h"
#include "steward_link.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace crosslink
{

/// Learns where the parts of a prompt lie: from its own memory while that
/// holds, else from the instance that has the duty. Safe for many threads.
class KeptAsker
{
public:
    KeptAsker(ForwardState& state, StewardLink& steward);

    /// Returns a place for each of `parts` of a prompt, for a call that ends
    /// within `longest`. Where nobody can be asked, all are None.
    KeptAnswer ask(const KeptSpace& space, std::span<const PromptPart> parts,
                   Micros longest);
    /// Gives back saves of a call that did certainly not run.
    void not_saved(const std::string& space, std::span<const PromptPart> parts,
                   std::span<const KeptPlace> places);

private:
    using Key = std::pair<std::string, std::string>; ///< Space, last part.
    struct Memory {
        std::map<Key, KeptAnswer> answers; ///< With all parts kept.
        RunnerMillis clock = 0;
        TimePoint clock_at{};
        TimePoint ask_again{}; ///< Nobody is asked before.
    };

    std::optional<KeptAnswer> remembered(const Key& key);
    void remember(const Key& key, const KeptAnswer& answer, TimePoint asked);
    std::optional<KeptAnswer> ask_steward(const KeptSpace& space,
                                          std::span<const PromptPart> parts,
                                          Micros longest, TimePoint asked);

    ForwardState& m_state;
    StewardLink& m_steward;
    Guarded<Memory> m_memory;
};

} // namespace crosslink
