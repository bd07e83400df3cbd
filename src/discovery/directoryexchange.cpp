#include "discovery/directoryexchange.h"

#include <algorithm>

#include <asio/post.hpp>

namespace Hibiscus
{

namespace
{

constexpr std::size_t kTickFanout = 2;
/** Daemons that receive an urgent change immediately and propagate it further. */
constexpr std::size_t kAnnouncementFanout = 24;
/** Daemons to which each daemon propagates a change. On average one daemon in e^6 = 400 does not receive it. */
constexpr std::size_t kPropagationFanout = 6;
constexpr std::size_t kMaximumContacts = 16;
constexpr Millis kContactInterval{200};
constexpr Millis kConnectTimeout{200};
constexpr Millis kResponseTimeout{1000};
constexpr const char *kTarget = "/control";
constexpr int kStatusOk = 200;

} // namespace

DirectoryExchange::DirectoryExchange(asio::any_io_executor executor, HttpClient &client, const Clock &clock,
                                     RandomSource &random, HostAddress self, Callbacks callbacks)
    : executor_(std::move(executor))
    , client_(client)
    , clock_(clock)
    , random_(random)
    , self_(std::move(self))
    , callbacks_(std::move(callbacks))
    , server_(connector_,
              [this](const DirectoryMessage &message) {
                  callbacks_.merge(message);
                  return callbacks_.createMessage(&message);
              })
    , lastContactExchange_(clock.now() - kContactInterval)
{
}

std::string DirectoryExchange::handleRequest(const std::string &body)
{
    return connector_.process(body);
}

void DirectoryExchange::addContact(const HostAddress &daemon)
{
    if (contacts_.size() < kMaximumContacts) {
        contacts_.insert(daemon);
    }
}

void DirectoryExchange::recordContact(const HostAddress &daemon)
{
    if (daemon == self_ || !callbacks_.knownDaemons().empty()) {
        return;
    }
    addContact(daemon);
    if (clock_.now() - lastContactExchange_ >= kContactInterval) {
        lastContactExchange_ = clock_.now();
        exchangeWith(daemon);
    }
}

void DirectoryExchange::tick()
{
    exchangeWithRandomDaemons(kTickFanout);
}

void DirectoryExchange::announce()
{
    exchangeWithRandomDaemons(kAnnouncementFanout);
}

void DirectoryExchange::propagate()
{
    exchangeWithRandomDaemons(kPropagationFanout);
}

void DirectoryExchange::exchangeWithRandomDaemons(std::size_t count)
{
    for (const HostAddress &daemon : selectRandomDaemons(count)) {
        exchangeWith(daemon);
    }
}

std::vector<HostAddress> DirectoryExchange::selectRandomDaemons(std::size_t count)
{
    std::vector<HostAddress> daemons = callbacks_.knownDaemons();
    if (daemons.empty()) {
        daemons.assign(contacts_.begin(), contacts_.end());
    }
    std::erase(daemons, self_);
    for (std::size_t i = 0; i + 1 < daemons.size() && i < count; ++i) {
        std::swap(daemons[i], daemons[i + random_.below(daemons.size() - i)]);
    }
    daemons.resize(std::min(count, daemons.size()));
    return daemons;
}

void DirectoryExchange::exchangeWith(const HostAddress &daemon)
{
    HttpCallOptions options;
    options.connectTimeout = kConnectTimeout;
    options.responseTimeout = kResponseTimeout;
    HttpRequest request{"POST", kTarget, {}, serializeExchangeRequest(callbacks_.createMessage(nullptr))};
    request.headers.set("Content-Type", "application/json");
    client_.send(daemon, request, options, [this](const HttpResult &result) {
        if (!result || result->status != kStatusOk) {
            // The next tick exchanges with another daemon.
            return;
        }
        asio::post(executor_, [this, body = result->body] {
            if (const auto message = parseExchangeReply(body)) {
                callbacks_.merge(*message);
            }
        });
    });
}

} // namespace Hibiscus
