// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "change_signal.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace crosslink
{

ChangeSignal::ChangeSignal() : m_descriptor(::eventfd(0, EFD_CLOEXEC))
{
    if (m_descriptor < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
}

ChangeSignal::~ChangeSignal()
{
    ::close(m_descriptor);
}

void
ChangeSignal::raise() const
{
    // It fails only where the count is full: then it is readable as well.
    static_cast<void>(::eventfd_write(m_descriptor, 1));
}

} // namespace crosslink
