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

/// Accounts are distributed over this many parts, so that a change is small and
/// no part comes near the platform's limit of one megabyte for a value.
constexpr std::uint64_t account_part_count = 32;
constexpr const char* templates_part = "templates";

std::string
part_name(const std::string& account)
{
    const auto number = sha256(account).prefix() % account_part_count;
    return "accounts-" + std::to_string(number);
}

} // namespace

void
TemplateSet::report_mistake(const Declaration& where, const std::string& field,
                            const std::string& what)
{
    m_mistakes.push_back({where.file, field, what});
}

void
TemplateSet::add_list(const std::string& file, const Json::Value& document,
                      const char* list,
                      std::map<std::string, Declaration>& into)
{
    const Json::Value& items = document[list];
    if (!items.isNull() && !items.isArray()) {
        m_mistakes.push_back({file, list, "must be a list of objects"});
        return;
    }
    for (Json::ArrayIndex i = 0; i < items.size(); ++i) {
        const std::string path =
            std::string(list) + "[" + std::to_string(i) + "]";
        const std::string name = json_string(items[i], "name");
        if (name.empty()) {
            m_mistakes.push_back({file, path + ".name", "must be a text"});
            continue;
        }
        const auto [at, inserted] =
            into.try_emplace(name, Declaration{file, path, items[i]});
        if (!inserted)
            m_mistakes.push_back(
                {file, path + ".name", "is declared twice: " + name});
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
TemplateSet::expand(const Declaration& declared, const std::string& name,
                    PolicyCache& cache, ClientAccount& account)
{
    const std::size_t before = m_mistakes.size();
    const auto report = [&](const std::string& field, const std::string& what) {
        report_mistake(declared, field, what);
    };
    pvt::FieldReader reader(declared.body, declared.path, report);
    std::string template_name;
    account.name = name;
    reader.raw("name");
    reader.string("template", template_name, true);
    pvt::read_key_hashes(reader, account);
    const Json::Value& given = reader.raw("parameters");
    reader.finish();
    const auto found = m_templates.find(template_name);
    if (found == m_templates.end()) {
        reader.report_mistake("template", "names no template that is declared");
        return false;
    }
    const auto in_account = [&](const std::string& field,
                                const std::string& what) {
        report_mistake(declared, declared.path + "." + field, what);
    };
    const Json::Value values = pvt::parameter_values(
        found->second.body["parameters"], given, in_account);
    if (m_mistakes.size() != before)
        return false;
    account.policy = policy_for(found->second, values, name, cache);
    return account.policy != nullptr;
}

std::shared_ptr<const AccountPolicy>
TemplateSet::policy_for(const Declaration& declared, const Json::Value& values,
                        const std::string& account, PolicyCache& cache)
{
    const auto [at, inserted] = cache.try_emplace(
        declared.file + declared.path + json_text(values), nullptr);
    if (!inserted)
        return at->second;
    const std::size_t before = m_mistakes.size();
    const auto report = [&](const std::string& field, const std::string& what) {
        const bool with_defaults = account.empty();
        report_mistake(declared, field,
                       with_defaults ? what
                                     : what + " (for account " + account + ")");
    };
    const Json::Value body =
        pvt::fill_parameters(declared.body["account"], values, report);
    pvt::FieldReader reader(body, declared.path + ".account", report);
    auto policy = std::make_shared<AccountPolicy>();
    pvt::read_account_policy(reader, *policy);
    reader.finish();
    if (m_mistakes.size() == before)
        at->second = std::move(policy);
    return at->second;
}

void
TemplateSet::check_templates(PolicyCache& cache)
{
    // A template is also checked with its defaults, so that mistakes are
    // reported before the first account uses it.
    for (const auto& [name, declared] : m_templates) {
        bool complete = true;
        const Json::Value values = pvt::parameter_values(
            declared.body["parameters"], Json::Value(),
            [&complete](const std::string&, const std::string&) {
                complete = false;
            });
        if (complete)
            policy_for(declared, values, "", cache);
    }
}

std::vector<ClientAccount>
TemplateSet::accounts()
{
    std::vector<ClientAccount> result;
    result.reserve(m_accounts.size());
    std::set<Digest> seen;
    PolicyCache cache;
    check_templates(cache);
    for (const auto& [name, declared] : m_accounts) {
        ClientAccount account;
        if (!expand(declared, name, cache, account))
            continue;
        for (const Digest& hash : account.key_hashes)
            if (!seen.insert(hash).second)
                report_mistake(declared, declared.path + ".key_hashes",
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
        grouped[part_name(name)]["accounts"].append(declared.body);
    std::map<std::string, std::string> result;
    for (const auto& [name, document] : grouped)
        result[name] = json_text(document);
    return result;
}

} // namespace crosslink
