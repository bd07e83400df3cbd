#ifndef HIBISCUS_HTTP_BLOCKINGCALL_H
#define HIBISCUS_HTTP_BLOCKINGCALL_H

#include "http/httpclient.h"

#include <memory>
#include <optional>

namespace Hibiscus
{

/** One HTTP call on a connection of its own, for a thread that waits for its result. */
class BlockingCall
{
public:
    BlockingCall(const HostAddress &address, const HttpRequest &request, HttpCallOptions options);
    BlockingCall(const BlockingCall &) = delete;
    BlockingCall &operator=(const BlockingCall &) = delete;

    /** For other threads, which may cancel the call. */
    const std::shared_ptr<HttpCall> &handle() const;
    /** Makes the call and waits for its end. Nothing is sent before. To be called once. */
    HttpResult run();

private:
    asio::io_context context_;
    HttpClient client_;
    std::optional<HttpResult> result_;
    std::shared_ptr<HttpCall> handle_;
};

} // namespace Hibiscus

#endif
