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

/// A JSON-RPC call that failed: the server answered with an error, or the
/// transport could not carry it.
class RpcError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Makes JSON-RPC 2.0 calls. This library is built as C++14, because the
/// headers of libjsonrpccpp do not compile as C++17 or later; this header does
/// not include them.
class RpcClient
{
public:
    /// Sends the text of one request and returns the text of its response.
    /// call() rethrows its exceptions.
    using Transport = std::function<std::string(const std::string& request)>;

    explicit RpcClient(Transport transport);
    ~RpcClient();
    RpcClient(const RpcClient&) = delete;
    RpcClient& operator=(const RpcClient&) = delete;

    /// Calls `method` and returns its result. Throws RpcError if the response
    /// is an error.
    Json::Value call(const std::string& method, const Json::Value& parameters);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Dispatches JSON-RPC 2.0 calls to registered methods.
class RpcServer
{
public:
    /// Returns the result for the given parameters; an exception is sent to the
    /// client as an error.
    using Method = std::function<Json::Value(const Json::Value& parameters)>;

    RpcServer();
    ~RpcServer();
    RpcServer(const RpcServer&) = delete;
    RpcServer& operator=(const RpcServer&) = delete;

    /// Registers a method. Must not be called after the first handle().
    void add(const std::string& name, Method method);
    /// Handles the text of one request and returns the text of the response.
    /// Thread-safe.
    std::string handle(const std::string& request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace crosslink
