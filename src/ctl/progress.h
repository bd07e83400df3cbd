#ifndef HIBISCUS_CTL_PROGRESS_H
#define HIBISCUS_CTL_PROGRESS_H

#include <string>

namespace Hibiscus
{

/** Receives progress lines from a command that waits. */
class Progress
{
public:
    virtual ~Progress() = default;
    virtual void report(const std::string &line) = 0;
};

} // namespace Hibiscus

#endif
