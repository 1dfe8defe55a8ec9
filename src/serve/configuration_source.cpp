// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "configuration_source.h"

#include <crosslink/base/error.h>

namespace crosslink
{

ConfigurationState::ConfigurationPtr
load_configuration(ConfigurationHead head,
                   const ConfigurationState::ConfigurationPtr& current,
                   const PartReader& read_part)
{
    PartTexts texts;
    for (const auto& [name, digest] : head.parts) {
        if (current && current->texts().contains(digest)) {
            texts.insert(*current->texts().find(digest));
            continue;
        }
        auto text = read_part(digest);
        if (!text)
            throw Error(ErrorCode::TemplateInvalid,
                        "configuration part is missing: " + name);
        texts.emplace(digest,
                      std::make_shared<const std::string>(std::move(*text)));
    }
    return std::make_shared<const Configuration>(std::move(head), texts);
}

} // namespace crosslink
