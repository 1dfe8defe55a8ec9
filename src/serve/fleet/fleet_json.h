// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>
#include <crosslink/forward/forwarded_call.h>
#include <crosslink/kept/kept_part.h>
#include <crosslink/kept/kept_replica.h>
#include <crosslink/membership/change_page.h>

#include <span>
#include <string>
#include <vector>

namespace crosslink
{

// JSON encoding of the calls between instances of the fleet, except for the
// exchange. A missing member decodes as 0, false or empty.

/// Encodes a position in the history of the platform's store as
/// [ERA, REVISION].
Json::Value to_json(const StorePosition& position);
/// Decodes it; a missing one is the first of all. Throws Error(BadJson) where
/// it is anything else.
StorePosition store_position_from_json(const Json::Value& value);

/// Encodes changes of the platform's store.
Json::Value to_json(const ChangePage& page);
/// Returns `entries` as ChangePage::packed holds them.
std::string pack_entries(std::span<const KeyChange> entries);
/// Decodes changes, packed or not. Throws Error(BadJson) where a change has no
/// key or no revision.
ChangePage change_page_from_json(const Json::Value& value);

/// Encodes the parts of a prompt, and the space that they belong to.
Json::Value to_json(const std::string& space,
                    std::span<const PromptPart> parts);
/// Decodes the parts out of `value`.
std::vector<PromptPart> parts_from_json(const Json::Value& value);
/// Decodes the space out of `value`. Throws Error(BadRequest) where it is
/// invalid.
KeptSpace kept_space_from_json(const Json::Value& value);

/// Encodes where the parts of a prompt are stored.
Json::Value to_json(const KeptAnswer& answer);
/// Decodes it. An unknown kind decodes as KeptPlace::Kind::None.
KeptAnswer kept_answer_from_json(const Json::Value& value);

} // namespace crosslink
