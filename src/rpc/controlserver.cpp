#include "rpc/controlserver.h"

#include "rpc/controlcodec.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

namespace Hibiscus
{

namespace
{

/** Hands one request at a time to the library and keeps its response. */
class TextConnector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }

    bool StopListening() override
    {
        return true;
    }

    bool SendResponse(const std::string &response, void * /*addInfo*/) override
    {
        response_ = response;
        return true;
    }

    std::string process(const std::string &body)
    {
        response_.clear();
        OnRequest(body);
        return std::move(response_);
    }

private:
    std::string response_;
};

} // namespace

namespace
{

/** Maps the JSON-RPC methods to the service. */
class MethodTable : public jsonrpc::AbstractServer<MethodTable>
{
public:
    MethodTable(TextConnector &textConnector, ControlService &controlService)
        : AbstractServer(textConnector)
        , service_(controlService)
    {
        add<0>();
        add<1>();
        add<2>();
        add<3>();
        add<4>();
    }

private:
    template<std::size_t Kind>
    void add()
    {
        bindAndAddMethod(jsonrpc::Procedure(controlMethod(Kind), jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
                         &MethodTable::call<Kind>);
    }

    template<std::size_t Kind>
    void call(const Json::Value &parameters, Json::Value &result)
    {
        const auto request = controlRequestFromJson(Kind, parameters);
        if (!request) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS);
        }
        result = toJson(service_.handle(*request));
    }

    ControlService &service_;
};

} // namespace

class ControlServer::Private
{
public:
    explicit Private(ControlService &service)
        : methods(connector, service)
    {
    }

    TextConnector connector;
    MethodTable methods;
};

ControlServer::ControlServer(ControlService &service)
    : d_(std::make_unique<Private>(service))
{
}

ControlServer::~ControlServer() = default;

std::string ControlServer::process(const std::string &body)
{
    return d_->connector.process(body);
}

} // namespace Hibiscus
