#ifndef HIBISCUS_HTTP_CONNECTIONACCOUNT_H
#define HIBISCUS_HTTP_CONNECTIONACCOUNT_H

#include "http/clientbudget.h"

#include <cstddef>

namespace Hibiscus
{

/** What one connection holds and draws from a ClientBudget. Without a budget all functions do nothing. */
class ConnectionAccount
{
public:
    ConnectionAccount(ClientBudget *budget, ClientShare share);

    /** False if there is no room for another connection. */
    bool open(BudgetedClient &client);
    /** Ends the account. The reason is the first one of those that were named. */
    void close(ClientEnd end);
    /** Forgets the budget, which is about to be destroyed. */
    void detach();

    /** The connection will end for this reason. */
    void setReason(ClientEnd end);
    /** The client has moved @p bytes in either direction. */
    void recordProgress(std::size_t bytes);
    /** A request of @p bytes is complete; it is held until its response. */
    void addRequest(std::size_t bytes);
    /** The response to a request of @p requestBytes waits for those before it. */
    void addResponse(std::size_t requestBytes, std::size_t responseBytes);
    void removeResponse(std::size_t bytes);
    /** Reports to the budget, which may cut off this client and others. */
    void update(std::size_t receivedBytes, std::size_t unreadBytes, ClientState state);

private:
    ClientBudget *budget_;
    ClientShare share_;
    ClientAccount *account_ = nullptr;
    std::size_t handledBytes_ = 0;
    std::size_t queuedBytes_ = 0;
    ClientEnd reason_ = ClientEnd::Closed;
};

} // namespace Hibiscus

#endif
