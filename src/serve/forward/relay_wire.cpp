// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "relay_wire.h"

namespace crosslink
{

const char*
relay_failure_name(RelayFailure failure)
{
    switch (failure) {
    case RelayFailure::NoPath:
        return "no_path";
    case RelayFailure::Busy:
        return "busy";
    case RelayFailure::ServiceCut:
        return "service_cut";
    case RelayFailure::RunnerCut:
        return "runner_cut";
    case RelayFailure::Unreachable:
        return "unreachable";
    case RelayFailure::NoShare:
        return "no_share";
    case RelayFailure::Broken:
        break;
    }
    return "broken";
}

RelayFailure
relay_failure_from(std::string_view name)
{
    for (const RelayFailure failure :
         {RelayFailure::NoPath, RelayFailure::Busy, RelayFailure::ServiceCut,
          RelayFailure::RunnerCut, RelayFailure::Unreachable,
          RelayFailure::NoShare})
        if (name == relay_failure_name(failure))
            return failure;
    return RelayFailure::Broken;
}

} // namespace crosslink
