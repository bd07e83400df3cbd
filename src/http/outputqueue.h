#ifndef HIBISCUS_HTTP_OUTPUTQUEUE_H
#define HIBISCUS_HTTP_OUTPUTQUEUE_H

#include <cstddef>
#include <string>

#include <asio/buffer.hpp>

namespace Hibiscus
{

/** Bytes that one connection has to send. Appending doesn't move those that are being sent. */
class OutputQueue
{
public:
    /** Whether all bytes were sent. */
    bool isEmpty() const;
    /** Memory that the queue holds, in bytes. */
    std::size_t heldBytes() const;
    /** To append to. */
    std::string &tail();
    /** Begins to send what was appended; false if bytes are being sent already, or there are none. */
    bool beginSending();
    /** The rest of the bytes that are being sent; empty once all of them were. */
    asio::const_buffer unsent() const;
    /** @p bytes of unsent() were sent. */
    void consume(std::size_t bytes);
    void clear();

private:
    std::string tail_;
    std::string sending_;
    std::size_t sentBytes_ = 0; ///< Of sending_.
};

} // namespace Hibiscus

#endif
