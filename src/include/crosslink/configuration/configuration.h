// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/configuration/client_account.h>
#include <crosslink/configuration/configuration_head.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crosslink
{

/// The text of parts by their digest. Shared by successive configurations.
using PartTexts = std::map<Digest, std::shared_ptr<const std::string>>;

/// One revision of the operators' declarations, ready for use. Immutable, so
/// that a request uses one revision from its start to its end.
class Configuration
{
public:
    /// Builds the configuration that `head` names. `texts` must hold each of
    /// its parts. Throws Error(TemplateInvalid) where a part is missing, does
    /// not match its digest, or has mistakes.
    Configuration(ConfigurationHead head, const PartTexts& texts);

    const ConfigurationHead& head() const { return m_head; }
    std::uint64_t revision() const { return m_head.revision; }
    const PartTexts& texts() const { return m_texts; }
    const std::vector<ClientAccount>& accounts() const { return m_accounts; }
    /// Returns the account whose key has this SHA-256, or null.
    const ClientAccount* account_by_key_hash(const Digest& hash) const;

private:
    ConfigurationHead m_head;
    PartTexts m_texts;
    std::vector<ClientAccount> m_accounts;
    std::unordered_map<Digest, std::size_t> m_by_key_hash;
};

} // namespace crosslink
