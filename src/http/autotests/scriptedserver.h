#ifndef HIBISCUS_HTTP_AUTOTESTS_SCRIPTEDSERVER_H
#define HIBISCUS_HTTP_AUTOTESTS_SCRIPTEDSERVER_H

#include "http/endpoint.h"

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace Hibiscus
{

/** What a ScriptedServer does with a connection on which it has sent its bytes. */
enum class AfterScript {
    KeepOpen,
    Close,
};

/**
 * Backend server that sends fixed bytes in response to each request for a target, and "sound" in response to any other.
 * It reads requests whose bodies have a stated length.
 */
class ScriptedServer
{
public:
    static constexpr const char *kScriptedTarget = "/scripted";

    ScriptedServer(std::string bytes, AfterScript afterScript, const HostAddress &address = HostAddress("127.0.0.1:0"),
                   const std::string &target = kScriptedTarget)
        : bytes_(std::move(bytes))
        , afterScript_(afterScript)
        , target_(" " + target + " ")
        , acceptor_(context_, *parseEndpoint(address))
        , thread_([this] { acceptConnections(); })
    {
    }

    ~ScriptedServer()
    {
        stopping_ = true;
        asio::ip::tcp::socket wakeUp(context_);
        asio::error_code ignored;
        wakeUp.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
        for (asio::ip::tcp::socket &socket : sockets_) {
            socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        }
        for (std::thread &connection : connections_) {
            connection.join();
        }
    }

    HostAddress address() const
    {
        return formatEndpoint(acceptor_.local_endpoint());
    }

    /** Replaces the bytes that are sent from now on. */
    void setBytes(std::string bytes)
    {
        const std::lock_guard lock(mutex_);
        bytes_ = std::move(bytes);
    }

    std::atomic<int> runs{0}; ///< Requests for the target.
    std::atomic<int> reuses{0}; ///< Requests on a connection on which the bytes had been sent.

private:
    using Socket = asio::ip::tcp::socket;

    void acceptConnections()
    {
        while (true) {
            Socket &socket = sockets_.emplace_back(context_);
            acceptor_.accept(socket);
            if (stopping_) {
                return;
            }
            connections_.emplace_back([this, &socket] { serve(socket); });
        }
    }

    void serve(Socket &socket)
    {
        std::string input;
        bool hasSentScript = false;
        asio::error_code error;
        while (!error) {
            const std::size_t headSize = asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
            if (error) {
                return;
            }
            const std::string head = input.substr(0, headSize);
            const std::size_t messageSize = headSize + contentLength(head);
            if (input.size() < messageSize) {
                asio::read(socket, asio::dynamic_buffer(input), asio::transfer_exactly(messageSize - input.size()),
                           error);
            }
            input.erase(0, messageSize);
            reuses += hasSentScript ? 1 : 0;
            const bool isScripted = head.find(target_) != std::string::npos;
            runs += isScripted ? 1 : 0;
            asio::write(socket, asio::buffer(isScripted ? script() : soundResponse()), error);
            hasSentScript = hasSentScript || isScripted;
            if (isScripted && afterScript_ == AfterScript::Close) {
                socket.shutdown(Socket::shutdown_both, error);
                return;
            }
        }
    }

    std::string script()
    {
        const std::lock_guard lock(mutex_);
        return bytes_;
    }

    static std::string soundResponse()
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";
    }

    static std::size_t contentLength(const std::string &head)
    {
        static const std::string field = "Content-Length: ";
        const std::size_t found = head.find(field);
        return found == std::string::npos ? 0 : std::stoul(head.substr(found + field.size()));
    }

    std::mutex mutex_;
    std::string bytes_;
    AfterScript afterScript_;
    std::string target_;
    std::atomic<bool> stopping_{false};
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::list<Socket> sockets_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

} // namespace Hibiscus

#endif
