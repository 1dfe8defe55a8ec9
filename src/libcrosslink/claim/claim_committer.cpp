// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/error.h>
#include <crosslink/claim/claim_committer.h>

#include <algorithm>

namespace crosslink
{

namespace
{

/// Maximum number of attempts of one commit; each attempt that loses a race, or
/// gets no answer, is followed by another.
constexpr int max_attempts = 8;
constexpr Micros retry_after = std::chrono::seconds(1);

} // namespace

ClaimCommitter::ClaimCommitter(Platform& platform, UnixMillis age_limit)
    : m_platform(platform), m_age_limit(age_limit)
{
}

std::size_t
ClaimCommitter::held() const
{
    std::size_t count = 0;
    for (const View& view : m_views)
        count += view ? view->size() : 0;
    return count;
}

void
ClaimCommitter::reload(std::uint32_t slice)
{
    View& view = m_views.at(slice);
    const auto record = m_platform.read(claim_head_key(slice));
    if (!record) {
        view = ClaimSlice();
        return;
    }
    ClaimHead head = ClaimHead::from_json(record->value);
    ClaimSegments segments;
    for (const ClaimSegment& segment : head.segments) {
        if (view && view->segments().contains(segment.name)) {
            segments[segment.name] = view->segments().at(segment.name);
            continue;
        }
        const auto text =
            m_platform.read(claim_segment_key(slice, segment.name));
        if (!text)
            // A newer head no longer refers to the segment; the next attempt
            // reads that head.
            throw Error(ErrorCode::PlatformOutcomeUnknown,
                        "a claim segment was removed while its slice was read");
        segments[segment.name] = claims_from_json(text->value);
    }
    view = ClaimSlice(record->version, std::move(head), std::move(segments));
}

std::vector<ClaimVerdict>
ClaimCommitter::verdicts_on(const ClaimSlice& view,
                            std::span<const Claim> batch)
{
    std::vector<ClaimVerdict> verdicts;
    verdicts.reserve(batch.size());
    for (const Claim& claim : batch)
        verdicts.push_back(view.verdict(claim));
    return verdicts;
}

bool
ClaimCommitter::swap(std::uint32_t slice, const ClaimSlice::Proposal& proposal)
{
    const ClaimSlice before = *m_views.at(slice);
    if (!proposal.moved.empty()) {
        ++m_writes;
        m_platform.write_if(claim_segment_key(slice, proposal.moved_name),
                            claims_to_json(proposal.moved), 0);
    }
    ++m_writes;
    const SwapOutcome outcome = m_platform.write_if(
        claim_head_key(slice), proposal.head.to_json(), before.version());
    if (!outcome.applied) {
        remove_orphaned_segment(slice, proposal, before.version());
        return false;
    }
    m_views.at(slice) = before.after(proposal, outcome.version);
    remove_unused_segments(slice, before, *m_views.at(slice));
    return true;
}

void
ClaimCommitter::remove_unused_segments(std::uint32_t slice,
                                       const ClaimSlice& before,
                                       const ClaimSlice& after)
{
    for (const auto& [name, claims] : before.segments())
        if (!after.segments().contains(name))
            remove_segment(slice, name);
}

void
ClaimCommitter::remove_orphaned_segment(std::uint32_t slice,
                                        const ClaimSlice::Proposal& proposal,
                                        std::uint64_t expected)
{
    if (proposal.moved.empty())
        return;
    const auto record = m_platform.read(claim_head_key(slice));
    if (!record || record->version <= expected)
        return;
    const ClaimHead head = ClaimHead::from_json(record->value);
    const bool named =
        std::any_of(head.segments.begin(), head.segments.end(),
                    [&proposal](const ClaimSegment& segment) {
                        return segment.name == proposal.moved_name;
                    });
    if (!named)
        remove_segment(slice, proposal.moved_name);
}

void
ClaimCommitter::remove_segment(std::uint32_t slice, const Digest& name)
{
    try {
        m_platform.remove_if(claim_segment_key(slice, name), 1);
    } catch (const Error&) {
        // A segment that is left behind only takes up space.
        return;
    }
}

std::vector<ClaimVerdict>
ClaimCommitter::commit(std::uint32_t slice, std::span<const Claim> batch,
                       std::span<const std::string> releases, UnixMillis now)
{
    // A claim to be released may have been committed by another instance, so
    // the present state of the slice is read first.
    bool stale = !releases.empty();
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        try {
            View& view = m_views.at(slice);
            if (!view || stale)
                reload(slice);
            stale = true;
            const auto proposal =
                view->propose(batch, releases, now, m_age_limit);
            if (proposal.changed && !swap(slice, proposal))
                continue;
            return verdicts_on(*view, batch);
        } catch (const Error& failure) {
            // Whether or not the outcome is known, the view may be out of date
            // now: the slice is read again before the next decision.
            m_views.at(slice).reset();
            if (failure.code() == ErrorCode::PlatformOutcomeUnknown)
                continue;
            throw Error(ErrorCode::ClaimUnavailable,
                        std::string("claims can't be committed: ") +
                            failure.what(),
                        RunState::NotDispatched, retry_after);
        }
    }
    throw Error(ErrorCode::ClaimUnavailable,
                "claims can't be committed: too many lost races",
                RunState::NotDispatched, retry_after);
}

} // namespace crosslink
