// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "head_fields.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

using namespace crosslink;

namespace
{

using namespace std::string_literals;

/// Returns the head with `lines` as its fields.
std::string
with(const std::string& lines)
{
    return "GET / HTTP/1.1\r\n" + lines + "\r\n";
}

/// Draws texts of the bytes on which the form of a head depends.
rc::Gen<std::string>
awkward_text()
{
    return rc::gen::container<std::string>(rc::gen::oneOf(
        rc::gen::element('\r', '\n', '\0', ' ', '\t', ':', '=', '?', 'a', 'Q'),
        rc::gen::arbitrary<char>()));
}

} // namespace

TEST_CASE("fields come out as they came in")
{
    const auto head = HeadFields::parse(
        with("Host: a\r\nX-Nota:\t =?UTF-8?Q?a=0D=0Ab?= \r\nX-Nota: b\tc\r\n"
             "Empty:\r\nHigh: \xc3\xa9\xff\r\nColon: :a:\r\n"));
    REQUIRE(head);
    CHECK(head->start_line() == "GET / HTTP/1.1");
    std::vector<std::pair<std::string, std::string>> found;
    for (const HeaderField& field : head->fields())
        found.emplace_back(field.name, field.value);
    CHECK(found == std::vector<std::pair<std::string, std::string>>{
                       {"Host", "a"},
                       {"X-Nota", "=?UTF-8?Q?a=0D=0Ab?="},
                       {"X-Nota", "b\tc"},
                       {"Empty", ""},
                       {"High", "\xc3\xa9\xff"},
                       {"Colon", ":a:"}});
}

TEST_CASE("what is no head is malformed")
{
    for (const std::string& head : {""s,
                                    "\r\n"s,
                                    "GET / HTTP/1.1\r\n"s,
                                    with("A: b\r\n") + "c",
                                    with("A : b\r\n"),
                                    with("A\r\n"),
                                    with(": b\r\n"),
                                    with(" A: b\r\n"),
                                    with("A: b\r\n c\r\n"),
                                    with("A: b\r\n\tc: d\r\n"),
                                    with("A: b\n"),
                                    with("A: b\rc\r\n"),
                                    with("A: b\nc: d\r\n"),
                                    with("A: b\0c\r\n"s),
                                    with("A: \x7f\r\n"),
                                    with("A: \x0b\r\n"),
                                    with("A\0: b\r\n"s),
                                    with("A(: b\r\n"),
                                    with("\xc3\xa9: b\r\n"),
                                    "GET /\0 HTTP/1.1\r\n\r\n"s,
                                    "GET / HTTP/1.1\nA: b\r\n\r\n"s})
        CHECK_FALSE(HeadFields::parse(head));
}

TEST_CASE("a head of any fields comes back exactly or is refused")
{
    CHECK(rc::check([] {
        const auto drawn = *rc::gen::container<
            std::vector<std::pair<std::string, std::string>>>(
            rc::gen::pair(awkward_text(), awkward_text()));
        std::string lines;
        bool valid = true;
        for (const auto& [name, value] : drawn) {
            lines += name + ":" + value + "\r\n";
            valid = valid && HeadFields::is_valid({name, value});
        }
        const auto head = HeadFields::parse(with(lines));
        if (!valid && !head)
            return;
        RC_ASSERT(head.has_value());
        std::string again;
        for (const HeaderField& field : head->fields()) {
            RC_ASSERT(HeadFields::is_valid(field));
            again += field.name + ":" + field.value + "\r\n";
        }
        const auto same = HeadFields::parse(with(again));
        RC_ASSERT(same.has_value());
        RC_ASSERT(same->fields().size() == head->fields().size());
        std::size_t at = 0;
        for (const HeaderField& field : head->fields()) {
            const std::size_t found = lines.find(field.name + ":", at);
            RC_ASSERT(found == at);
            const std::size_t end = lines.find("\r\n", at);
            const std::string value = lines.substr(
                at + field.name.size() + 1, end - at - field.name.size() - 1);
            RC_ASSERT(value.find(field.value) != std::string::npos);
            RC_ASSERT(value.find_first_not_of(" \t") ==
                      (field.value.empty() ? std::string::npos
                                           : value.find(field.value)));
            at = end + 2;
        }
        RC_ASSERT(at == lines.size());
    }));
}
