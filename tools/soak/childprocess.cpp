#include "soak/childprocess.h"

#include <csignal>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Hibiscus
{

namespace
{

/** Wait status of a program that can't be started: exit status 127, as from a shell. */
constexpr int kNotStarted = 127 << 8;
constexpr mode_t kLogMode = 0644;

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&pid_, arguments.front(), &actions, nullptr, arguments.data(), environ) != 0) {
        pid_ = -1;
        status_ = kNotStarted;
    }
    posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number) const
{
    if (pid_ > 0 && !status_) {
        ::kill(pid_, number);
    }
}

std::optional<int> ChildProcess::status()
{
    int status = 0;
    if (!status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        status_ = status;
    }
    return status_;
}

void ChildProcess::kill()
{
    if (status()) {
        return;
    }
    signal(SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    status_ = status;
}

} // namespace Hibiscus
