#include "http/httpclient.h"

#include "http/connectionpool.h"
#include "http/httpexchange.h"

namespace Hibiscus
{

HttpClient::HttpClient(asio::io_context &context)
    : pool_(std::make_shared<ConnectionPool>(context))
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::send(const HostAddress &address, const HttpRequest &request,
                                           const HttpCallOptions &options, HttpCallback callback)
{
    auto exchange = std::make_shared<HttpExchange>(pool_, address, request, options, std::move(callback));
    exchange->start();
    return exchange;
}

void HttpClient::closeIdle(const HostAddress &address)
{
    pool_->closeIdle(address);
}

std::size_t HttpClient::receivedBytes() const
{
    return pool_->receiveBudget().used();
}

std::size_t HttpClient::idleConnections() const
{
    return pool_->idleConnections();
}

std::size_t HttpClient::unfinishedUploads() const
{
    return pool_->unfinishedUploads;
}

} // namespace Hibiscus
