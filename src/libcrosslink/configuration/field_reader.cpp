// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "field_reader.h"

#include <algorithm>
#include <sstream>

namespace crosslink::pvt
{

namespace
{

template<typename Number>
std::string
range_text(const char* kind, Number low, Number high)
{
    std::ostringstream text;
    text << "must be a " << kind << " from " << low << " to " << high;
    return text.str();
}

} // namespace

FieldReader::FieldReader(const Json::Value& object, std::string path,
                         Report report)
    : m_object(object), m_path(std::move(path)), m_report(std::move(report))
{
    if (!m_object.isObject())
        m_report(m_path, "must be an object");
}

std::string
FieldReader::path_of(const std::string& name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

void
FieldReader::report_mistake(const std::string& name,
                            const std::string& what) const
{
    m_report(path_of(name), what);
}

const Json::Value&
FieldReader::raw(const char* name)
{
    static const Json::Value absent;
    m_read.emplace_back(name);
    if (!m_object.isObject() || !m_object.isMember(name))
        return absent;
    return m_object[name];
}

void
FieldReader::string(const char* name, std::string& value, bool required)
{
    const Json::Value& found = raw(name);
    if (found.isString() && !found.asString().empty())
        value = found.asString();
    else if (required || !found.isNull())
        report_mistake(name, "must be a text of one character or more");
}

void
FieldReader::strings(const char* name, std::vector<std::string>& value)
{
    const Json::Value& found = raw(name);
    if (found.isNull())
        return;
    if (!found.isArray()) {
        report_mistake(name, "must be a list of texts");
        return;
    }
    for (const Json::Value& item : found) {
        if (item.isString())
            value.push_back(item.asString());
        else
            report_mistake(name, "must hold texts only");
    }
}

void
FieldReader::number(const char* name, double& value, double low, double high)
{
    const Json::Value& found = raw(name);
    if (found.isNull())
        return;
    if (!found.isNumeric() || found.asDouble() < low || found.asDouble() > high)
        report_mistake(name, range_text("number", low, high));
    else
        value = found.asDouble();
}

void
FieldReader::integer(const char* name, std::uint64_t& value, std::uint64_t low,
                     std::uint64_t high)
{
    const Json::Value& found = raw(name);
    if (found.isNull())
        return;
    if (!found.isUInt64() || found.asUInt64() < low || found.asUInt64() > high)
        report_mistake(name, range_text("whole number", low, high));
    else
        value = found.asUInt64();
}

void
FieldReader::integer(const char* name, std::uint32_t& value, std::uint32_t low,
                     std::uint32_t high)
{
    std::uint64_t wide = value;
    integer(name, wide, std::uint64_t{low}, std::uint64_t{high});
    value = static_cast<std::uint32_t>(wide);
}

void
FieldReader::objects(const char* name,
                     const std::function<void(FieldReader& reader)>& item)
{
    const Json::Value& found = raw(name);
    if (found.isNull())
        return;
    if (!found.isArray()) {
        report_mistake(name, "must be a list of objects");
        return;
    }
    for (Json::ArrayIndex i = 0; i < found.size(); ++i) {
        const std::string path = path_of(name) + "[" + std::to_string(i) + "]";
        FieldReader reader(found[i], path, m_report);
        item(reader);
        reader.finish();
    }
}

void
FieldReader::object(const char* name,
                    const std::function<void(FieldReader& reader)>& item)
{
    const Json::Value& found = raw(name);
    if (found.isNull())
        return;
    FieldReader reader(found, path_of(name), m_report);
    item(reader);
    reader.finish();
}

void
FieldReader::finish() const
{
    if (!m_object.isObject())
        return;
    for (const std::string& name : m_object.getMemberNames()) {
        const bool is_read =
            std::find(m_read.begin(), m_read.end(), name) != m_read.end();
        if (!is_read)
            report_mistake(name, "is not a known field");
    }
}

} // namespace crosslink::pvt
