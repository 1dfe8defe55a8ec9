// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/base/error.h>
#include <crosslink/configuration/configuration.h>
#include <crosslink/configuration/template_set.h>

namespace crosslink
{

namespace
{

std::string
describe(const TemplateMistake& mistake)
{
    return mistake.file + ": " + mistake.field + " " + mistake.what;
}

} // namespace

Configuration::Configuration(ConfigurationHead head, const PartTexts& texts)
    : m_head(std::move(head))
{
    TemplateSet set;
    for (const auto& [name, digest] : m_head.parts) {
        const auto found = texts.find(digest);
        if (found == texts.end() || sha256(*found->second) != digest)
            throw Error(ErrorCode::TemplateInvalid,
                        "part is missing or does not fit its digest: " + name);
        m_texts.insert(*found);
        set.add(name, parse_json(*found->second));
    }
    m_accounts = set.accounts();
    if (!set.mistakes().empty())
        throw Error(ErrorCode::TemplateInvalid,
                    describe(set.mistakes().front()));
    for (std::size_t i = 0; i < m_accounts.size(); ++i) {
        for (const Digest& hash : m_accounts[i].key_hashes)
            m_by_key_hash.emplace(hash, i);
    }
}

const ClientAccount*
Configuration::account_by_key_hash(const Digest& hash) const
{
    const auto found = m_by_key_hash.find(hash);
    return found == m_by_key_hash.end() ? nullptr : &m_accounts[found->second];
}

} // namespace crosslink
