// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include <crosslink/authenticate/authenticator.h>
#include <crosslink/base/error.h>

namespace crosslink
{

const ClientAccount&
authenticate(const Configuration& configuration, std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme) ||
        authorization.size() == scheme.size())
        throw Error(ErrorCode::MissingKey,
                    "send the API key as \"Authorization: Bearer <key>\"");
    authorization.remove_prefix(scheme.size());
    const ClientAccount* account =
        configuration.account_by_key_hash(sha256(authorization));
    if (!account)
        throw Error(ErrorCode::UnknownKey, "the API key is not known");
    return *account;
}

} // namespace crosslink
