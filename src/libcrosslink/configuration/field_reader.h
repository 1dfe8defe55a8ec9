// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <crosslink/base/json.h>

#include <functional>
#include <string>
#include <vector>

namespace crosslink::pvt
{

/// Reads the fields of one JSON object and reports every mistake with its path.
/// Fields that were not read are mistakes as well.
class FieldReader
{
public:
    using Report =
        std::function<void(const std::string& field, const std::string& what)>;

    /// `object` must outlive the reader; `path` is the path of the object.
    FieldReader(const Json::Value& object, std::string path, Report report);

    /// These leave `value` unchanged where the field is absent.
    void string(const char* name, std::string& value, bool required = false);
    void strings(const char* name, std::vector<std::string>& value);
    void number(const char* name, double& value, double low, double high);
    void integer(const char* name, std::uint64_t& value, std::uint64_t low,
                 std::uint64_t high);
    void integer(const char* name, std::uint32_t& value, std::uint32_t low,
                 std::uint32_t high);
    /// Calls `item` for each object of the list `name`.
    void objects(const char* name,
                 const std::function<void(FieldReader& reader)>& item);
    /// Calls `item` for the object `name`, where there is one.
    void object(const char* name,
                const std::function<void(FieldReader& reader)>& item);
    /// Returns the field unchecked, and counts it as read.
    const Json::Value& raw(const char* name);
    /// Reports a mistake in field `name`.
    void report_mistake(const std::string& name, const std::string& what) const;
    /// Reports the fields that were not read.
    void finish() const;

private:
    std::string path_of(const std::string& name) const;

    const Json::Value& m_object;
    const std::string m_path;
    const Report m_report;
    std::vector<std::string> m_read;
};

} // namespace crosslink::pvt
