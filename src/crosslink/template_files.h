// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/configuration/template_set.h>

#include <string>

namespace crosslink
{

/// Reads every *.json file in `directory`. A file that is not valid JSON adds a
/// mistake to the set. Throws Error(TemplateInvalid) if there is none or
/// `directory` can't be read.
TemplateSet read_templates(const std::string& directory);
/// Prints the mistakes of `set` to standard error, one per line, and throws
/// Error(TemplateInvalid) if there are any.
void check_templates(TemplateSet& set);

} // namespace crosslink
