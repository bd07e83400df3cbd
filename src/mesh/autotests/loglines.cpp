#include "mesh/autotests/loglines.h"

#include <algorithm>
#include <mutex>
#include <string_view>
#include <utility>
#include <vector>

#include <glog/logging.h>

namespace Hibiscus
{

class LogLines::Sink : public google::LogSink
{
public:
    explicit Sink(std::string pattern)
        : pattern_(std::move(pattern))
    {
        google::AddLogSink(this);
    }
    ~Sink() override
    {
        google::RemoveLogSink(this);
    }
    Sink(const Sink &) = delete;
    Sink &operator=(const Sink &) = delete;

    void send(google::LogSeverity /*severity*/, const char * /*fullFilename*/, const char * /*baseFilename*/,
              int /*line*/, const google::LogMessageTime & /*time*/, const char *message, std::size_t size) override
    {
        const std::string_view line(message, size);
        if (line.find(pattern_) != std::string_view::npos) {
            const std::lock_guard lock(mutex_);
            lines_.emplace_back(line);
        }
    }

    bool has(const std::string &text, const std::string &other)
    {
        const std::lock_guard lock(mutex_);
        return std::any_of(lines_.begin(), lines_.end(), [&](const std::string &line) {
            return line.find(text) != std::string::npos && line.find(other) != std::string::npos;
        });
    }

private:
    std::string pattern_;
    std::mutex mutex_;
    std::vector<std::string> lines_;
};

LogLines::LogLines(LogEvent event)
    : sink_(std::make_unique<Sink>("\"event\":" + std::to_string(static_cast<int>(event)) + ","))
{
}

LogLines::~LogLines() = default;

bool LogLines::has(const std::string &text, const std::string &other) const
{
    return sink_->has(text, other);
}

} // namespace Hibiscus
