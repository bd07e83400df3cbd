#include "rpc/controlserver.h"

#include "rpc/controlcodec.h"

#include <exception>
#include <string_view>

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>

namespace Hibiscus
{

namespace
{

using jsonrpc::Errors;
using jsonrpc::JsonRpcException;

jsonrpc::Procedure procedure(const char *name, jsonrpc::jsontype_t type)
{
    jsonrpc::Procedure result;
    result.SetProcedureName(name);
    result.SetProcedureType(jsonrpc::RPC_METHOD);
    result.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
    result.SetReturnType(type);
    result.AddParameter("m", type);
    return result;
}

/** Calls the service; whatever it throws becomes an error that names no internals. */
template<class Call>
auto guarded(const Call &call)
{
    try {
        return call();
    } catch (const std::exception &) {
        throw JsonRpcException(Errors::ERROR_RPC_INTERNAL_ERROR, "the method failed");
    }
}

template<class Request, class Response>
void answer(std::string_view method, ControlService &service, Response (ControlService::*handler)(const Request &),
            const Json::Value &parameters, Json::Value &result)
{
    const auto request = decodeRequest(method, parameters["m"]);
    if (!request) {
        throw JsonRpcException(Errors::ERROR_RPC_INVALID_PARAMS, request.error().detail);
    }
    result = guarded([&] { return encode(ControlResponse((service.*handler)(std::get<Request>(*request)))); });
}

void answerText(ControlService &service, std::string (ControlService::*handler)(const std::string &),
                const Json::Value &parameters, Json::Value &result)
{
    result = guarded([&] { return (service.*handler)(parameters["m"].asString()); });
}

} // namespace

ControlServer::ControlServer(HttpConnector &connector, ControlService &service)
    : jsonrpc::AbstractServer<ControlServer>(connector, jsonrpc::JSONRPC_SERVER_V2)
    , service_(service)
{
    bindAndAddMethod(procedure("poll", jsonrpc::JSON_OBJECT), &ControlServer::poll);
    bindAndAddMethod(procedure("announce", jsonrpc::JSON_OBJECT), &ControlServer::announce);
    bindAndAddMethod(procedure("view", jsonrpc::JSON_OBJECT), &ControlServer::view);
    bindAndAddMethod(procedure("lease", jsonrpc::JSON_OBJECT), &ControlServer::lease);
    bindAndAddMethod(procedure("configuration", jsonrpc::JSON_OBJECT), &ControlServer::configuration);
    bindAndAddMethod(procedure("claim", jsonrpc::JSON_STRING), &ControlServer::claim);
    bindAndAddMethod(procedure("settle", jsonrpc::JSON_STRING), &ControlServer::settle);
    bindAndAddMethod(procedure("outcome", jsonrpc::JSON_STRING), &ControlServer::outcome);
}

void ControlServer::poll(const Json::Value &parameters, Json::Value &result)
{
    answer("poll", service_, &ControlService::poll, parameters, result);
}

void ControlServer::announce(const Json::Value &parameters, Json::Value &result)
{
    answer("announce", service_, &ControlService::announce, parameters, result);
}

void ControlServer::view(const Json::Value &parameters, Json::Value &result)
{
    answer("view", service_, &ControlService::view, parameters, result);
}

void ControlServer::lease(const Json::Value &parameters, Json::Value &result)
{
    answer("lease", service_, &ControlService::lease, parameters, result);
}

void ControlServer::configuration(const Json::Value &parameters, Json::Value &result)
{
    answer("configuration", service_, &ControlService::configuration, parameters, result);
}

void ControlServer::claim(const Json::Value &parameters, Json::Value &result)
{
    answerText(service_, &ControlService::claim, parameters, result);
}

void ControlServer::settle(const Json::Value &parameters, Json::Value &result)
{
    answerText(service_, &ControlService::settle, parameters, result);
}

void ControlServer::outcome(const Json::Value &parameters, Json::Value &result)
{
    answerText(service_, &ControlService::outcome, parameters, result);
}

} // namespace Hibiscus
