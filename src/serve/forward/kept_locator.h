// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "forward_state.h"

#include <serve/coordinator/coordinator_link.h>
#include <serve/guarded.h>

#include <crosslink/kept/question_pacing.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace crosslink
{

/// Looks up where the parts of a prompt are stored: in this instance's replica
/// of the directory, or at the instance that holds the coordinator duty if the
/// call may have to save some parts. Thread-safe.
class KeptLocator
{
public:
    KeptLocator(ForwardState& state, CoordinatorLink& coordinator);

    /// Returns a place for each of `parts` of a prompt, for a call that ends
    /// within `longest`. If the holder of the duty can't be asked, the places
    /// come from the replica alone; parts that it does not know are None.
    KeptAnswer locate(const KeptSpace& space, std::span<const PromptPart> parts,
                      Micros longest);
    /// Returns the places of `parts` according to the replica alone; nothing if
    /// the last of them is not known.
    std::optional<KeptAnswer> locate_locally(const KeptSpace& space,
                                             std::span<const PromptPart> parts);
    /// Releases the saves among `places` of a call that certainly did not run.
    void cancel_saves(const std::string& space,
                      std::span<const PromptPart> parts,
                      std::span<const KeptPlace> places);

private:
    bool may_ask(TimePoint now);
    std::optional<KeptAnswer> ask_coordinator(const KeptSpace& space,
                                              std::span<const PromptPart> parts,
                                              Micros longest, TimePoint asked);

    ForwardState& m_state;
    CoordinatorLink& m_coordinator;
    Guarded<QuestionPacing> m_pacing;
};

} // namespace crosslink
