#ifndef HIBISCUS_SOAK_CHILDPROCESS_H
#define HIBISCUS_SOAK_CHILDPROCESS_H

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Hibiscus
{

/** A program that was started as a process of its own, and ends with this object. */
class ChildProcess
{
public:
    /** Standard output and error are appended to @p logFile. A program that can't be started counts as ended. */
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const;

    /** Exit status as from waitpid(), once the process has ended. */
    std::optional<int> status();

    /** Ends the process and waits for its end. */
    void kill();

private:
    pid_t pid_ = -1;
    std::optional<int> status_;
};

} // namespace Hibiscus

#endif
