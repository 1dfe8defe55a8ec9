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

void
append_line(std::string& lines, const std::string& name,
            const std::string& value)
{
    lines.append(name).append(":").append(value).append("\r\n");
}

/// Returns `line`, "name:value", without the white space around its value.
std::string
trimmed(const std::string& line)
{
    const std::size_t value = line.find(':') + 1;
    const std::size_t begin = line.find_first_not_of(" \t", value);
    if (begin == std::string::npos)
        return line.substr(0, value);
    const std::size_t end = line.find_last_not_of(" \t");
    return line.substr(0, value) + line.substr(begin, end - begin + 1);
}

/// Returns the lines of `text`, each of which ends with CR LF.
std::vector<std::string>
lines_of(const std::string& text)
{
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = text.find("\r\n", at);
        lines.push_back(text.substr(at, end - at));
        at = end + 2;
    }
    return lines;
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
        std::string text;
        bool valid = true;
        for (const auto& [name, value] : drawn) {
            append_line(text, name, value);
            valid = valid && HeadFields::is_valid({name, value});
        }
        const auto head = HeadFields::parse(with(text));
        if (!valid && !head)
            return;
        RC_ASSERT(head.has_value());
        const std::vector<std::string> lines = lines_of(text);
        RC_ASSERT(lines.size() == head->fields().size());
        for (std::size_t i = 0; i < lines.size(); ++i) {
            const HeaderField& field = head->fields()[i];
            RC_ASSERT(HeadFields::is_valid(field));
            RC_ASSERT(field.name + ":" + field.value == trimmed(lines[i]));
        }
    }));
}

TEST_CASE("fields with valid names come back exactly")
{
    CHECK(rc::check([](const std::vector<unsigned>& names) {
        std::string text;
        for (const unsigned name : names)
            append_line(text, "X-" + std::to_string(name),
                        *rc::gen::container<std::string>(rc::gen::element(
                            ' ', '\t', ':', '=', '?', '_', 'Q', '\xff')));
        const auto head = HeadFields::parse(with(text));
        RC_ASSERT(head.has_value());
        const std::vector<std::string> lines = lines_of(text);
        RC_ASSERT(lines.size() == head->fields().size());
        for (std::size_t i = 0; i < lines.size(); ++i)
            RC_ASSERT(head->fields()[i].name + ":" + head->fields()[i].value ==
                      trimmed(lines[i]));
    }));
}
