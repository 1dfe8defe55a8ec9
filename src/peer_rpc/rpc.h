// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#pragma once

#include <json/json.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace crosslink
{

/// A JSON-RPC call that the other side answered with an error, or that its
/// transport could not carry.
class RpcError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Makes JSON-RPC 2.0 calls. This library is built as C++14, because the
/// headers of libjsonrpccpp do not compile as C++17 or later; this header is
/// free of them.
class RpcClient
{
public:
    /// Carries one request text and returns the answer's text. What it throws
    /// passes through call().
    using Transport = std::function<std::string(const std::string& request)>;

    explicit RpcClient(Transport transport);
    ~RpcClient();
    RpcClient(const RpcClient&) = delete;
    RpcClient& operator=(const RpcClient&) = delete;

    /// Calls `method`. Throws RpcError where the answer is an error.
    Json::Value call(const std::string& method, const Json::Value& parameters);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Answers JSON-RPC 2.0 calls.
class RpcServer
{
public:
    /// Returns the result for the given parameters; throwing answers an error.
    using Method = std::function<Json::Value(const Json::Value& parameters)>;

    RpcServer();
    ~RpcServer();
    RpcServer(const RpcServer&) = delete;
    RpcServer& operator=(const RpcServer&) = delete;

    /// Adds a method; only before the first handle().
    void add(const std::string& name, Method method);
    /// Returns the answer's text to a request's text. Safe for many threads.
    std::string handle(const std::string& request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crosslink
