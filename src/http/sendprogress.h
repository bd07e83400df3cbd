#ifndef HIBISCUS_HTTP_SENDPROGRESS_H
#define HIBISCUS_HTTP_SENDPROGRESS_H

#include <atomic>
#include <cstddef>

namespace Hibiscus
{

/** When a receiver may begin to work on a request. */
enum class RequestStart {
    AtHead, ///< Once it has the head, while the body may still be coming (RFC 9110, section 7.5). True of any server.
    AtEnd, ///< Only once it has the whole message, as a daemon does.
};

/**
 * How much of a request has been handed to the connection, and so whether the receiver may have begun to work on it.
 * Only this class answers that question: what the sender has not yet written says nothing about what the receiver does.
 *
 * The writes happen on one thread; withdraw() and mayHaveBegun() may be called on any.
 */
class SendProgress
{
public:
    SendProgress(std::size_t headBytes, std::size_t messageBytes, RequestStart start);

    /** To be called before each write, which may hand over all remaining bytes. False if the request was withdrawn;
     * then nothing may be written. */
    bool beginWrite();

    /** The write has handed over @p bytes. */
    void endWrite(std::size_t bytes);

    /** Ends the request if its receiver can't have begun, so that it never will; false if it may have begun. */
    bool withdraw();

    /** Whether the receiver may have begun to work on the request. */
    bool mayHaveBegun() const;

    /** Number of bytes that have been handed over. */
    std::size_t written() const
    {
        return written_;
    }

    /** Whether the whole message has been handed over. */
    bool isComplete() const
    {
        return written_ == messageBytes_;
    }

private:
    enum class State {
        NotBegun,
        MayHaveBegun,
        Withdrawn,
    };

    std::size_t bytesToBegin_; ///< With so many bytes the receiver may begin.
    std::size_t messageBytes_;
    std::size_t written_ = 0;
    std::atomic<State> state_{State::NotBegun};
};

} // namespace Hibiscus

#endif
