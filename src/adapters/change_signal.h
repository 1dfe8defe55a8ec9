// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

namespace crosslink
{

/// Tells any number of threads that wait in poll() of one change, once. A
/// thread that waits for it costs nothing until then.
class ChangeSignal
{
public:
    ChangeSignal();
    ~ChangeSignal();
    ChangeSignal(const ChangeSignal&) = delete;
    ChangeSignal& operator=(const ChangeSignal&) = delete;

    /// Wakes all who wait, and those who come to wait later.
    void raise() const;
    /// Returns a descriptor that is readable from the change on.
    int descriptor() const { return m_descriptor; }

private:
    int m_descriptor;
};

} // namespace crosslink
