// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/invariants.h>
#include <crosslink/kept/import_check.h>

#include <algorithm>

namespace crosslink
{

bool
import_is_sound(std::span<const SealedBlock> asked, const ImportResult& read,
                const std::vector<bool>& still_sealed)
{
    if (read.contents.size() != asked.size() ||
        still_sealed.size() != asked.size())
        return false;
    for (std::size_t i = 0; i < asked.size(); ++i)
        if (!still_sealed[i] || read.contents[i] != asked[i].content)
            return false;
    return true;
}

void
check_lookup(std::span<const Digest> asked, std::span<const SealedBlock> found)
{
    check_invariant(Invariant::BlockIdentity, found.size() <= asked.size());
    const bool same =
        std::equal(found.begin(), found.end(), asked.begin(),
                   [](const SealedBlock& block, const Digest& key) {
                       return block.key == key;
                   });
    check_invariant(Invariant::BlockIdentity, same);
}

} // namespace crosslink
