// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/configuration/template_set.h>

#include <string>

namespace crosslink
{

/// Reads every *.json file of `directory`. A file that is no JSON becomes a
/// mistake of the set.
TemplateSet read_templates(const std::string& directory);
/// Prints the mistakes, one a line, and throws Error(TemplateInvalid) where
/// there are any.
void check_templates(TemplateSet& set);

} // namespace crosslink
