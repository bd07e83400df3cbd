#include "http/connectionaccount.h"

#include <utility>

namespace Hibiscus
{

ConnectionAccount::ConnectionAccount(ClientBudget *budget, ClientShare share)
    : budget_(budget)
    , share_(share)
{
}

bool ConnectionAccount::open(BudgetedClient &client)
{
    if (budget_ == nullptr) {
        return true;
    }
    account_ = budget_->open(share_, client);
    return account_ != nullptr;
}

void ConnectionAccount::close(ClientEnd end)
{
    setReason(end);
    if (account_ != nullptr) {
        budget_->close(std::exchange(account_, nullptr), reason_);
    }
}

void ConnectionAccount::detach()
{
    account_ = nullptr;
}

void ConnectionAccount::setReason(ClientEnd end)
{
    reason_ = reason_ == ClientEnd::Closed ? end : reason_;
}

void ConnectionAccount::recordProgress(std::size_t bytes)
{
    if (account_ != nullptr) {
        budget_->recordProgress(*account_, bytes);
    }
}

void ConnectionAccount::addRequest(std::size_t bytes)
{
    handledBytes_ += bytes;
    if (account_ != nullptr) {
        budget_->recordMessage(*account_);
    }
}

void ConnectionAccount::addResponse(std::size_t requestBytes, std::size_t responseBytes)
{
    handledBytes_ -= requestBytes;
    queuedBytes_ += responseBytes;
}

void ConnectionAccount::removeResponse(std::size_t bytes)
{
    queuedBytes_ -= bytes;
}

void ConnectionAccount::update(std::size_t receivedBytes, std::size_t unreadBytes, ClientState state)
{
    if (account_ != nullptr) {
        budget_->update(*account_, {receivedBytes, handledBytes_, queuedBytes_, unreadBytes}, state);
    }
}

} // namespace Hibiscus
