#ifndef HIBISCUS_HTTP_AUTOTESTS_UPLOADSERVER_H
#define HIBISCUS_HTTP_AUTOTESTS_UPLOADSERVER_H

#include "http/endpoint.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace Hibiscus
{

/** What a server does when it has the head of an upload and not yet its body. */
enum class UploadBehaviour {
    Crash, ///< Resets the connection.
    Hold, ///< Reads nothing more until it is released, then reads the rest and responds.
    RespondEarly, ///< Responds, and reads the rest once it is released.
    RespondEarlyAndCrash, ///< Responds, and resets the connection once it is released.
    RespondInPart, ///< Sends a part of a response without a length, and resets the connection.
};

/**
 * Backend server that begins to work on an upload (POST /upload) when it has the head. Other requests get a response at
 * once.
 */
class UploadServer
{
public:
    explicit UploadServer(UploadBehaviour behaviour, const HostAddress &address = HostAddress("127.0.0.1:0"))
        : behaviour_(behaviour)
        , acceptor_(context_, *parseEndpoint(address))
        , thread_([this] { acceptConnections(); })
    {
    }

    ~UploadServer()
    {
        release();
        stopping_ = true;
        asio::ip::tcp::socket wakeUp(context_);
        asio::error_code ignored;
        wakeUp.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
        for (const auto &socket : sockets_) {
            socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        }
        for (std::thread &connection : connections_) {
            connection.join();
        }
    }

    HostAddress address() const
    {
        return formatEndpoint(acceptor_.local_endpoint());
    }

    /** Lets the server go on reading, or crash. */
    void release()
    {
        const std::lock_guard lock(mutex_);
        released_ = true;
        changed_.notify_all();
    }

    /** Waits until so many uploads have been read to the last byte. */
    void awaitBodies(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return bodies_.size() >= count; });
    }

    /** Bodies of the uploads that were read to the last byte. */
    std::vector<std::string> bodies()
    {
        const std::lock_guard lock(mutex_);
        return bodies_;
    }

    std::atomic<int> runs{0}; ///< Uploads that the server has begun.

private:
    using Socket = asio::ip::tcp::socket;

    void acceptConnections()
    {
        while (true) {
            const auto socket = std::make_shared<Socket>(context_);
            acceptor_.accept(*socket);
            if (stopping_) {
                return;
            }
            sockets_.push_back(socket);
            connections_.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(Socket &socket)
    {
        std::string input;
        while (serveRequest(socket, input)) { }
    }

    /** False once the connection has ended. */
    bool serveRequest(Socket &socket, std::string &input)
    {
        asio::error_code error;
        const std::size_t headSize = asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", error);
        if (error) {
            return false;
        }
        const std::string head = input.substr(0, headSize);
        input.erase(0, headSize);
        if (!head.starts_with("POST /upload ")) {
            return readBody(socket, input, contentLength(head)) && respond(socket);
        }
        ++runs;
        const bool respondsEarly =
            behaviour_ == UploadBehaviour::RespondEarly || behaviour_ == UploadBehaviour::RespondEarlyAndCrash;
        if (respondsEarly && !respond(socket)) {
            return false;
        }
        if (behaviour_ == UploadBehaviour::RespondInPart) {
            asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")), error);
        }
        const bool crashesAtOnce = behaviour_ == UploadBehaviour::Crash || behaviour_ == UploadBehaviour::RespondInPart;
        if (!crashesAtOnce) {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return released_; });
        }
        if (crashesAtOnce || behaviour_ == UploadBehaviour::RespondEarlyAndCrash) {
            socket.set_option(asio::socket_base::linger(true, 0), error);
            socket.close(error);
            return false;
        }
        const std::optional<std::string> body = readBody(socket, input, contentLength(head));
        if (!body) {
            return false;
        }
        {
            const std::lock_guard lock(mutex_);
            bodies_.push_back(*body);
            changed_.notify_all();
        }
        return respondsEarly || respond(socket);
    }

    static std::size_t contentLength(const std::string &head)
    {
        static const std::string field = "Content-Length: ";
        return std::stoul(head.substr(head.find(field) + field.size()));
    }

    static std::optional<std::string> readBody(Socket &socket, std::string &input, std::size_t size)
    {
        const std::size_t buffered = std::min(size, input.size());
        std::string body = input.substr(0, buffered);
        input.erase(0, buffered);
        body.resize(size);
        asio::error_code error;
        asio::read(socket, asio::buffer(body) + buffered, error);
        return error ? std::nullopt : std::optional(std::move(body));
    }

    static bool respond(Socket &socket)
    {
        static const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
        asio::error_code error;
        asio::write(socket, asio::buffer(response), error);
        return !error;
    }

    UploadBehaviour behaviour_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::condition_variable changed_;
    bool released_ = false;
    std::vector<std::string> bodies_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<Socket>> sockets_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

} // namespace Hibiscus

#endif
