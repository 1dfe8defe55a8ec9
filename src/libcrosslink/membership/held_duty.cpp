// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/membership/fencing_token.h>
#include <crosslink/membership/held_duty.h>

namespace crosslink
{

void
HeldDuty::taken(const StorePosition& written, TimePoint asked, Micros span)
{
    continued(written, asked, span);
    m_token = fencing_token(written);
}

void
HeldDuty::continued(const StorePosition& written, TimePoint asked, Micros span)
{
    m_written = written;
    m_is_suspended = false;
    renewed(asked, span);
}

void
HeldDuty::renewed(TimePoint asked, Micros span)
{
    m_renewed_at = asked;
    m_span = span;
}

bool
HeldDuty::is_unbroken(TimePoint now) const
{
    return m_is_suspended && now < m_renewed_at + m_span;
}

} // namespace crosslink
