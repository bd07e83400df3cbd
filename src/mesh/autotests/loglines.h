#ifndef HIBISCUS_MESH_AUTOTESTS_LOGLINES_H
#define HIBISCUS_MESH_AUTOTESTS_LOGLINES_H

#include "core/logevent.h"

#include <memory>
#include <string>

namespace Hibiscus
{

/** Collects the log lines of an event while it lives. Its implementation is apart, since the macros of the log library
 * and of the test library have the same names. */
class LogLines
{
public:
    explicit LogLines(LogEvent event);
    ~LogLines();
    LogLines(const LogLines &) = delete;
    LogLines &operator=(const LogLines &) = delete;

    /** Whether a line has both texts. */
    bool has(const std::string &text, const std::string &other) const;

private:
    class Sink;
    std::unique_ptr<Sink> sink_;
};

} // namespace Hibiscus

#endif
