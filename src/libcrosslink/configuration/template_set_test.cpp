// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/configuration/template_set.h>

#include <catch2/catch.hpp>

#include <algorithm>

namespace crosslink
{

namespace
{

constexpr const char* cooks = R"({
  "templates": [{"name": "cooks",
    "parameters": {"rate": {"default": 5, "minimum": 0.5, "maximum": 50}},
    "account": {"models": [{"model": "m", "version": "v1"}],
      "limits": {"requests_per_second": {"$parameter": "rate"}}}}]})";

TemplateSet
set_with(const std::string& accounts)
{
    TemplateSet set;
    set.add("t.json", parse_json(cooks));
    set.add("a.json", parse_json(R"({"accounts": [)" + accounts + "]}"));
    return set;
}

bool
has_mistake(const TemplateSet& set, const std::string& field)
{
    return std::any_of(set.mistakes().begin(), set.mistakes().end(),
                       [&field](const TemplateMistake& mistake) {
                           return mistake.field == field;
                       });
}

} // namespace

TEST_CASE("accounts come from templates with their parameters")
{
    TemplateSet set = set_with(
        R"({"name": "a", "template": "cooks"},
           {"name": "b", "template": "cooks", "parameters": {"rate": 20}})");
    const auto accounts = set.accounts();
    REQUIRE(set.mistakes().empty());
    REQUIRE(accounts.size() == 2);
    CHECK(accounts[0].policy->limits.requests_per_second == 5);
    CHECK(accounts[1].policy->limits.requests_per_second == 20);
    CHECK(accounts[1].policy->grant_for("m")->version == "v1");
}

TEST_CASE("accounts with the same template and parameters share their terms")
{
    TemplateSet set = set_with(
        R"({"name": "a", "template": "cooks"},
           {"name": "b", "template": "cooks", "parameters": {"rate": 5}},
           {"name": "c", "template": "cooks", "parameters": {"rate": 6}})");
    const auto accounts = set.accounts();
    REQUIRE(accounts.size() == 3);
    CHECK(accounts[0].policy == accounts[1].policy);
    CHECK(accounts[0].policy != accounts[2].policy);
}

TEST_CASE("an integer is accepted where the range is of real numbers")
{
    TemplateSet set = set_with(
        R"({"name": "a", "template": "cooks", "parameters": {"rate": 1}})");
    set.accounts();
    CHECK(set.mistakes().empty());
}

TEST_CASE("every mistake is reported with its field")
{
    TemplateSet set = set_with(
        R"({"name": "a", "template": "none"},
           {"name": "b", "template": "cooks", "parameters": {"rate": 99}},
           {"name": "c", "template": "cooks", "typo": 1},
           {"name": "d", "template": "cooks", "key_hashes": ["12"]},
           {"name": "e", "template": "cooks", "parameters": {"other": 1}})");
    CHECK(set.accounts().empty());
    CHECK(has_mistake(set, "accounts[0].template"));
    CHECK(has_mistake(set, "accounts[1].parameters.rate"));
    CHECK(has_mistake(set, "accounts[2].typo"));
    CHECK(has_mistake(set, "accounts[3].key_hashes"));
    CHECK(has_mistake(set, "accounts[4].parameters.other"));
}

TEST_CASE("a template that no account uses is checked as well")
{
    TemplateSet set;
    set.add("t.json", parse_json(R"({"templates": [
        {"name": "t", "account": {"priority": 12}}]})"));
    set.accounts();
    CHECK(has_mistake(set, "templates[0].account.priority"));
}

TEST_CASE("two accounts with the same key are a mistake")
{
    const std::string hash(64, 'a');
    TemplateSet set = set_with(
        R"({"name": "a", "template": "cooks", "key_hashes": [")" + hash +
        R"("]}, {"name": "b", "template": "cooks", "key_hashes": [")" + hash +
        R"("]})");
    set.accounts();
    CHECK(has_mistake(set, "accounts[1].key_hashes"));
}

TEST_CASE("a set rebuilt from its parts is the same set")
{
    TemplateSet set = set_with(R"({"name": "a", "template": "cooks"})");
    TemplateSet again;
    for (const auto& [name, text] : set.parts())
        again.add(name, parse_json(text));
    CHECK(again.accounts().size() == 1);
    CHECK(again.parts() == set.parts());
}

TEST_CASE("raising a split's share only moves callers to the new fleet")
{
    for (int caller = 0; caller < 200; ++caller) {
        const std::string name = "caller" + std::to_string(caller);
        bool was_new = false;
        for (std::uint32_t share = 0; share <= 100; share += 10) {
            const bool is_new =
                goes_to_new_fleet({"completions", "old", share}, name);
            CHECK((is_new || !was_new));
            was_new = is_new;
        }
        CHECK(was_new);
    }
}

} // namespace crosslink
