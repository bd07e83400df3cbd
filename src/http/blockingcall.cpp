#include "http/blockingcall.h"

#include <utility>

namespace Hibiscus
{

namespace
{

constexpr int kThreads = 1;

} // namespace

BlockingCall::BlockingCall(const HostAddress &address, const HttpRequest &request, HttpCallOptions options)
    : context_(kThreads)
    , client_(context_)
{
    options.singleUse = true;
    handle_ = client_.send(address, request, options, [this](HttpResult result) { result_ = std::move(result); });
}

const std::shared_ptr<HttpCall> &BlockingCall::handle() const
{
    return handle_;
}

HttpResult BlockingCall::run()
{
    while (!result_) {
        context_.run_one();
    }
    return *std::move(result_);
}

} // namespace Hibiscus
