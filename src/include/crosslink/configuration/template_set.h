// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>
#include <crosslink/configuration/client_account.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crosslink
{

/// A mistake in a declaration, with its location for the operator.
struct TemplateMistake {
    std::string file;  ///< File name, or part name for a stored set.
    std::string field; ///< Path of the field, like "accounts[3].limits".
    std::string what;  ///< What is wrong, and the valid range.
};

/// The operators' declarations as written: templates with parameters, and the
/// client accounts made from them. It is what `template apply` stores.
class TemplateSet
{
public:
    /// Adds the declarations of one file; mistakes are collected, not thrown.
    void add(const std::string& file, const Json::Value& document);

    /// Adds a mistake that the caller found, such as a file that is not JSON.
    void add_mistake(TemplateMistake mistake)
    {
        m_mistakes.push_back(std::move(mistake));
    }

    /// Returns every client account with its parameters filled in. Accounts
    /// with mistakes are left out; see mistakes().
    std::vector<ClientAccount> accounts();
    /// Returns the mistakes found by add() and accounts() so far.
    const std::vector<TemplateMistake>& mistakes() const { return m_mistakes; }

    /// Returns the set divided into named parts, each below the platform's
    /// limit of one megabyte for the sizes that docs/CAPACITY.md plans for. A
    /// change of one account changes one part.
    std::map<std::string, std::string> parts() const;

private:
    struct Declaration {
        std::string file;
        std::string path;
        Json::Value body;
    };

    void report_mistake(const Declaration& where, const std::string& field,
                        const std::string& what);
    void add_list(const std::string& file, const Json::Value& document,
                  const char* list, std::map<std::string, Declaration>& into);
    /// Policies by template and parameter values; null where they have
    /// mistakes.
    using PolicyCache =
        std::map<std::string, std::shared_ptr<const AccountPolicy>>;

    void check_templates(PolicyCache& cache);
    bool expand(const Declaration& declared, const std::string& name,
                PolicyCache& cache, ClientAccount& account);
    std::shared_ptr<const AccountPolicy> policy_for(const Declaration& declared,
                                                    const Json::Value& values,
                                                    const std::string& account,
                                                    PolicyCache& cache);

    std::map<std::string, Declaration> m_templates;
    std::map<std::string, Declaration> m_accounts;
    std::vector<TemplateMistake> m_mistakes;
};

} // namespace crosslink
