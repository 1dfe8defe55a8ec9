// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "template_files.h"

#include <crosslink/base/error.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

namespace crosslink
{

namespace
{

std::string
read_file(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::filesystem::path>
json_files(const std::string& directory)
{
    std::error_code failure;
    std::vector<std::filesystem::path> files;
    for (const auto& entry :
         std::filesystem::directory_iterator(directory, failure))
        if (entry.path().extension() == ".json")
            files.push_back(entry.path());
    if (failure || files.empty())
        throw Error(ErrorCode::TemplateInvalid,
                    "no *.json files in \"" + directory + "\"");
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

TemplateSet
read_templates(const std::string& directory)
{
    TemplateSet set;
    for (const auto& path : json_files(directory)) {
        const std::string name = path.filename().string();
        try {
            set.add(name, parse_json(read_file(path)));
        } catch (const Error& failure) {
            set.add_mistake({name, "", failure.what()});
        }
    }
    return set;
}

void
check_templates(TemplateSet& set)
{
    set.accounts();
    for (const TemplateMistake& mistake : set.mistakes())
        std::fprintf(stderr, "%s: %s %s\n", mistake.file.c_str(),
                     mistake.field.c_str(), mistake.what.c_str());
    if (!set.mistakes().empty())
        throw Error(ErrorCode::TemplateInvalid,
                    std::to_string(set.mistakes().size()) + " mistakes");
}

} // namespace crosslink
