// SPDX-License-Identifier: Apache-2.0
// Copyright Contributors to the crosslink project.

#include "rpc.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <exception>
#include <map>
#include <utility>

namespace crosslink
{

namespace
{

/// Declares no required parameters: they are passed by name, and each method
/// checks its own.
constexpr const char* no_required_parameters = nullptr;

class Connector : public jsonrpc::IClientConnector
{
public:
    explicit Connector(RpcClient::Transport transport)
        : m_transport(std::move(transport))
    {
    }

    // The dynamic exception specification lets no other exception pass, so the
    // transport's exception is stored for rethrow_failure().
    void SendRPCMessage(const std::string& message, std::string& result) throw(
        jsonrpc::JsonRpcException) override
    {
        try {
            result = m_transport(message);
        } catch (...) {
            m_failure = std::current_exception();
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "transport failed");
        }
    }

    void rethrow_failure()
    {
        if (m_failure)
            std::rethrow_exception(std::exchange(m_failure, nullptr));
    }

private:
    RpcClient::Transport m_transport;
    std::exception_ptr m_failure;
};

class Dispatcher : public jsonrpc::IProcedureInvokationHandler
{
public:
    void HandleMethodCall(jsonrpc::Procedure& procedure,
                          const Json::Value& input,
                          Json::Value& output) override
    {
        try {
            output = methods.at(procedure.GetProcedureName())(input);
        } catch (const std::exception& failure) {
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, failure.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&,
                                const Json::Value&) override
    {
    }

    std::map<std::string, RpcServer::Method> methods;
};

} // namespace

class RpcClient::Impl
{
public:
    explicit Impl(Transport transport)
        : connector(std::move(transport)), client(connector)
    {
    }

    Connector connector;
    jsonrpc::Client client;
};

RpcClient::RpcClient(Transport transport)
    : m_impl(new Impl(std::move(transport)))
{
}

RpcClient::~RpcClient() = default;

Json::Value
RpcClient::call(const std::string& method, const Json::Value& parameters)
{
    try {
        return m_impl->client.CallMethod(method, parameters);
    } catch (const jsonrpc::JsonRpcException& failure) {
        m_impl->connector.rethrow_failure();
        throw RpcError(failure.GetMessage());
    }
}

class RpcServer::Impl
{
public:
    Impl()
        : handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, dispatcher))
    {
    }

    Dispatcher dispatcher;
    std::unique_ptr<jsonrpc::IProtocolHandler> handler;
};

RpcServer::RpcServer() : m_impl(new Impl)
{
}

RpcServer::~RpcServer() = default;

void
RpcServer::add(const std::string& name, Method method)
{
    m_impl->dispatcher.methods[name] = std::move(method);
    m_impl->handler->AddProcedure(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                           no_required_parameters));
}

std::string
RpcServer::handle(const std::string& request)
{
    std::string response;
    m_impl->handler->HandleRequest(request, response);
    return response;
}

} // namespace crosslink
