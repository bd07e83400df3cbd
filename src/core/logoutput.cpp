#include "core/logoutput.h"

#include <atomic>
#include <cstdint>
#include <string_view>

#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

namespace Hibiscus
{

namespace
{

/** A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF). */
constexpr std::size_t kMaximumLineBytes = 4096;

bool isWritable(int descriptor)
{
    pollfd entry{descriptor, POLLOUT, 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

/** Writes log lines to standard output without blocking. */
class StandardOutputSink : public google::LogSink
{
public:
    void send(google::LogSeverity /*severity*/, const char * /*fullFilename*/, const char * /*baseFilename*/,
              int /*line*/, const google::LogMessageTime & /*time*/, const char *message, std::size_t size) override
    {
        std::string text(message, size);
        if (const std::uint64_t dropped = dropped_.exchange(0); dropped > 0 && text.ends_with('}')) {
            text.pop_back();
            text += ",\"droppedLines\":" + std::to_string(dropped) + "}";
        }
        text += '\n';
        const bool fits = text.size() <= kMaximumLineBytes && isWritable(STDOUT_FILENO);
        if (!fits || ::write(STDOUT_FILENO, text.data(), text.size()) < 0) {
            ++dropped_;
        }
    }

private:
    std::atomic<std::uint64_t> dropped_{0};
};

} // namespace

void startLogging(const char *program, const std::string &directory)
{
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    FLAGS_logtostderr = false;
    FLAGS_log_dir = directory;
    google::InitGoogleLogging(program);
    if (!directory.empty()) {
        return;
    }
    for (int severity = google::GLOG_INFO; severity <= google::GLOG_FATAL; ++severity) {
        google::SetLogDestination(severity, "");
    }
    static StandardOutputSink sink;
    google::AddLogSink(&sink);
}

} // namespace Hibiscus
