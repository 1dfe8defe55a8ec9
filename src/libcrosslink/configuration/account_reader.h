// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include "field_reader.h"

#include <crosslink/configuration/client_account.h>

namespace crosslink::pvt
{

/// Reads the body of a template with its parameters filled in. Mistakes are
/// reported by the reader.
void read_account_policy(FieldReader& reader, AccountPolicy& policy);

/// Reads `key_hashes`: 64 hexadecimal digits each, SHA-256 of an API key.
void read_key_hashes(FieldReader& reader, ClientAccount& account);

} // namespace crosslink::pvt
