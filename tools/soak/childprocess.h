#ifndef HIBISCUS_SOAK_CHILDPROCESS_H
#define HIBISCUS_SOAK_CHILDPROCESS_H

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace Hibiscus
{

/** Child process that runs a program; it is killed when the object is destroyed. */
class ChildProcess
{
public:
    /**
     * Appends standard output and error to @p logFile. If the program can't be started, status() returns exit status
     * 127.
     */
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const;

    /** Process id; -1 if the program can't be started. */
    pid_t id() const
    {
        return pid_;
    }

    /** Wait status in the format of waitpid(), empty while the process runs. */
    std::optional<int> status();

    /** Sends SIGKILL and waits for the process to end. */
    void kill();

private:
    pid_t pid_ = -1;
    std::optional<int> status_;
};

} // namespace Hibiscus

#endif
