#include "http/sendprogress.h"

namespace Hibiscus
{

SendProgress::SendProgress(std::size_t headBytes, std::size_t messageBytes, RequestStart start)
    : bytesToBegin_(start == RequestStart::AtHead ? headBytes : messageBytes)
    , messageBytes_(messageBytes)
{
}

bool SendProgress::beginWrite()
{
    // Counts as handed over before it is, so that another thread can't withdraw it meanwhile.
    State expected = State::NotBegun;
    return state_.compare_exchange_strong(expected, State::MayHaveBegun) || expected == State::MayHaveBegun;
}

void SendProgress::endWrite(std::size_t bytes)
{
    written_ += bytes;
    if (written_ < bytesToBegin_) {
        state_ = State::NotBegun;
    }
}

bool SendProgress::withdraw()
{
    State expected = State::NotBegun;
    return state_.compare_exchange_strong(expected, State::Withdrawn) || expected == State::Withdrawn;
}

bool SendProgress::mayHaveBegun() const
{
    return state_ == State::MayHaveBegun;
}

} // namespace Hibiscus
