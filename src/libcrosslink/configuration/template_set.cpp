// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "account_reader.h"
#include "field_reader.h"
#include "parameters.h"

#include <crosslink/configuration/template_set.h>

#include <set>

namespace crosslink
{

namespace
{

/// Accounts are spread over this many parts, so that a change is small and no
/// part comes near the platform's limit of one megabyte a value.
constexpr std::uint64_t account_parts = 32;
constexpr const char* templates_part = "templates";

std::string
part_of(const std::string& account)
{
    const auto number = sha256(account).prefix() % account_parts;
    return "accounts-" + std::to_string(number);
}

} // namespace

void
TemplateSet::mistake(const Declared& where, const std::string& field,
                     const std::string& what)
{
    m_mistakes.push_back({where.file, field, what});
}

void
TemplateSet::add_list(const std::string& file, const Json::Value& document,
                      const char* list, std::map<std::string, Declared>& into)
{
    const Json::Value& items = document[list];
    if (!items.isNull() && !items.isArray()) {
        m_mistakes.push_back({file, list, "must be a list of objects"});
        return;
    }
    for (Json::ArrayIndex i = 0; i < items.size(); ++i) {
        const std::string place =
            std::string(list) + "[" + std::to_string(i) + "]";
        const std::string name = json_string(items[i], "name");
        if (name.empty()) {
            m_mistakes.push_back({file, place + ".name", "must be a text"});
            continue;
        }
        const auto [at, fresh] =
            into.try_emplace(name, Declared{file, place, items[i]});
        if (!fresh)
            m_mistakes.push_back(
                {file, place + ".name", "is declared twice: " + name});
    }
}

void
TemplateSet::add(const std::string& file, const Json::Value& document)
{
    if (!document.isObject()) {
        m_mistakes.push_back({file, "", "must be an object"});
        return;
    }
    add_list(file, document, "templates", m_templates);
    add_list(file, document, "accounts", m_accounts);
    for (const std::string& name : document.getMemberNames())
        if (name != "templates" && name != "accounts")
            m_mistakes.push_back({file, name, "is not a known field"});
}

bool
TemplateSet::expand(const Declared& declared, const std::string& name,
                    ClientAccount& account)
{
    const std::size_t before = m_mistakes.size();
    const auto report = [&](const std::string& field, const std::string& what) {
        mistake(declared, field, what);
    };
    pvt::FieldReader reader(declared.body, declared.place, report);
    account.name = name;
    reader.any("name");
    reader.text("template", account.template_name, true);
    pvt::read_key_hashes(reader, account);
    const Json::Value& given = reader.any("parameters");
    reader.finish();
    const auto found = m_templates.find(account.template_name);
    if (found == m_templates.end()) {
        reader.wrong("template", "names no template that is declared");
        return false;
    }
    const auto in_account = [&](const std::string& field,
                                const std::string& what) {
        mistake(declared, declared.place + "." + field, what);
    };
    const Json::Value values = pvt::parameter_values(
        found->second.body["parameters"], given, in_account);
    const Json::Value body =
        pvt::fill_parameters(found->second.body["account"], values, in_account);
    const auto in_template = [&](const std::string& field,
                                 const std::string& what) {
        mistake(found->second, field, what + " (for account " + name + ")");
    };
    pvt::FieldReader body_reader(body, found->second.place + ".account",
                                 in_template);
    pvt::read_account_body(body_reader, account);
    body_reader.finish();
    return m_mistakes.size() == before;
}

std::vector<ClientAccount>
TemplateSet::accounts()
{
    std::vector<ClientAccount> result;
    result.reserve(m_accounts.size());
    std::set<Digest> seen;
    for (const auto& [name, declared] : m_accounts) {
        ClientAccount account;
        if (!expand(declared, name, account))
            continue;
        for (const Digest& hash : account.key_hashes)
            if (!seen.insert(hash).second)
                mistake(declared, declared.place + ".key_hashes",
                        "holds a key that another account has as well");
        result.push_back(std::move(account));
    }
    return result;
}

std::map<std::string, std::string>
TemplateSet::parts() const
{
    std::map<std::string, Json::Value> grouped;
    grouped[templates_part]["templates"] = Json::Value(Json::arrayValue);
    for (const auto& [name, declared] : m_templates)
        grouped[templates_part]["templates"].append(declared.body);
    for (const auto& [name, declared] : m_accounts)
        grouped[part_of(name)]["accounts"].append(declared.body);
    std::map<std::string, std::string> result;
    for (const auto& [name, document] : grouped)
        result[name] = json_text(document);
    return result;
}

} // namespace crosslink
