// Small stand-ins of the platform, of backend servers and of clients, for the cases of the third review.
// They speak what the users' pages say, on loopback addresses and blocking sockets with one thread a connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace StandIn
{

inline std::int64_t nowMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/** Lets this process open as many descriptors as it may. To be called first. */
inline void raiseDescriptorLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---------------------------------------------------------------------------------------------------- record

/** Writes record.txt: one line for each thing that was sent, answered, run or done. */
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
        , start_(nowMs())
    {
    }

    void add(const std::string &line)
    {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(nowMs() - start_) / 1000);
        file_ << time << line << std::endl;
    }

    std::int64_t elapsedMs() const
    {
        return nowMs() - start_;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t start_;
};

// --------------------------------------------------------------------------------------------------- sockets

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** A port that is free at this moment, below those that the system gives to outgoing connections; never returned twice.
 */
inline int freePort()
{
    constexpr int kFirst = 10000;
    constexpr int kCount = 22000;
    static std::mutex mutex;
    static int next = static_cast<int>(::getpid()) * 101 % kCount;
    const std::lock_guard lock(mutex);
    while (true) {
        next = (next + 1) % kCount;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf("127.0.0.1", kFirst + next);
        const bool isFree = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree) {
            return kFirst + next;
        }
    }
}

struct Address {
    std::string ip = "127.0.0.1";
    int port = 0;

    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

inline Address newAddress()
{
    return {"127.0.0.1", freePort()};
}

/** Field names in lower case. */
using Fields = std::map<std::string, std::string>;

inline std::string lower(std::string text)
{
    for (char &c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

struct Message {
    std::string firstLine; ///< Without the line end.
    Fields fields;
    std::string body;

    std::string word(int index) const
    {
        std::istringstream words(firstLine);
        std::string word;
        for (int i = 0; i <= index; ++i) {
            word.clear();
            words >> word;
        }
        return word;
    }
    std::string method() const
    {
        return word(0);
    }
    std::string target() const
    {
        return word(1);
    }
    int status() const
    {
        return std::atoi(word(1).c_str());
    }
    std::string field(const std::string &name) const
    {
        const auto found = fields.find(lower(name));
        return found == fields.end() ? "" : found->second;
    }
};

enum class ReadResult { Complete, Closed, TimedOut };

/** A connected socket with a read buffer. */
class Connection
{
public:
    explicit Connection(int fd = -1)
        : fd_(fd)
    {
    }
    ~Connection()
    {
        close();
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool connect(const Address &to, int timeoutMs, int receiveBufferBytes = 0)
    {
        close();
        buffer_.clear();
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (fd_ < 0) {
            return false;
        }
        if (receiveBufferBytes > 0) {
            ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        }
        const int one = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const sockaddr_in address = addressOf(to.ip, to.port);
        if (::connect(fd_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
            close();
            return false;
        }
        pollfd entry{fd_, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (::poll(&entry, 1, timeoutMs) != 1 || ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0
            || error != 0) {
            close();
            return false;
        }
        return true;
    }

    bool isOpen() const
    {
        return fd_ >= 0;
    }
    int descriptor() const
    {
        return fd_;
    }
    /** Bytes that were read from the socket and not taken yet. */
    std::size_t buffered() const
    {
        return buffer_.size();
    }

    void close()
    {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

    void reset()
    {
        if (fd_ >= 0) {
            const linger option{1, 0};
            ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
            close();
        }
    }

    bool write(const std::string &bytes, int timeoutMs = 20000)
    {
        std::size_t sent = 0;
        const std::int64_t until = nowMs() + timeoutMs;
        while (sent < bytes.size()) {
            const ssize_t size = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size > 0) {
                sent += static_cast<std::size_t>(size);
                continue;
            }
            if (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
                return false;
            }
            pollfd entry{fd_, POLLOUT, 0};
            const std::int64_t left = until - nowMs();
            if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
        }
        return true;
    }

    /** Reads a head; the body stays unread. */
    ReadResult readHead(Message &message, std::int64_t untilMs)
    {
        std::size_t end;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            const ReadResult result = fill(untilMs);
            if (result != ReadResult::Complete) {
                return result;
            }
        }
        message = {};
        std::istringstream lines(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::getline(lines, message.firstLine);
        if (!message.firstLine.empty() && message.firstLine.back() == '\r') {
            message.firstLine.pop_back();
        }
        std::string line;
        while (std::getline(lines, line)) {
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string value = line.substr(colon + 1);
            const std::size_t begin = value.find_first_not_of(" \t");
            const std::size_t last = value.find_last_not_of(" \t\r");
            value = begin == std::string::npos ? "" : value.substr(begin, last - begin + 1);
            message.fields[lower(line.substr(0, colon))] = value;
        }
        return ReadResult::Complete;
    }

    /** Reads a body of stated length. */
    ReadResult readBody(Message &message, std::int64_t untilMs, bool keep = true)
    {
        std::size_t left = static_cast<std::size_t>(std::atoll(message.field("Content-Length").c_str()));
        while (left > 0) {
            if (buffer_.empty()) {
                const ReadResult result = fill(untilMs);
                if (result != ReadResult::Complete) {
                    return result;
                }
            }
            const std::size_t size = std::min(left, buffer_.size());
            if (keep) {
                message.body.append(buffer_, 0, size);
            }
            buffer_.erase(0, size);
            left -= size;
        }
        return ReadResult::Complete;
    }

    ReadResult readMessage(Message &message, std::int64_t untilMs)
    {
        const ReadResult result = readHead(message, untilMs);
        return result == ReadResult::Complete ? readBody(message, untilMs) : result;
    }

    /** Waits for input; false after @p untilMs. */
    bool waitForInput(std::int64_t untilMs) const
    {
        pollfd entry{fd_, POLLIN, 0};
        const std::int64_t left = std::max<std::int64_t>(0, untilMs - nowMs());
        return !buffer_.empty() || ::poll(&entry, 1, static_cast<int>(left)) > 0;
    }

    /** Whether the other side has closed; what it sent before stays readable. */
    bool hasEnded() const
    {
        char byte;
        const ssize_t size = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    ReadResult fill(std::int64_t untilMs)
    {
        char bytes[65536];
        while (true) {
            const ssize_t size = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
            if (size > 0) {
                buffer_.append(bytes, static_cast<std::size_t>(size));
                return ReadResult::Complete;
            }
            if (size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
                return ReadResult::Closed;
            }
            pollfd entry{fd_, POLLIN, 0};
            const std::int64_t left = untilMs - nowMs();
            if (left <= 0) {
                return ReadResult::TimedOut;
            }
            ::poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left, 1000)));
        }
    }

    int fd_;
    std::string buffer_;
};

constexpr std::int64_t kForever = 1LL << 60;

inline std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string jsonResponse(int status, const std::string &body, const std::string &fields = "")
{
    return response(status, "Content-Type: application/json\r\n" + fields, body);
}

/** Accepts connections and runs a function on a thread for each. */
class Listener
{
public:
    using Serve = std::function<void(Connection &)>;

    Listener(const Address &address, Serve serve)
        : serve_(std::move(serve))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in bound = addressOf(address.ip, address.port);
        if (::bind(fd_, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) != 0 || ::listen(fd_, 1024) != 0) {
            std::perror(address.text().c_str());
            std::_Exit(2);
        }
        thread_ = std::thread([this] { run(); });
    }

    /** Ends all connections, as when the process ends. */
    void endConnections()
    {
        const std::lock_guard lock(open_->mutex);
        for (const int fd : open_->descriptors) {
            ::shutdown(fd, SHUT_RDWR);
        }
    }

    /** Closes the listening socket. Connections go on. */
    ~Listener()
    {
        ::shutdown(fd_, SHUT_RDWR);
        thread_.join();
        ::close(fd_);
    }

private:
    void run()
    {
        while (true) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                const std::lock_guard lock(open_->mutex);
                open_->descriptors.insert(fd);
            }
            std::thread([serve = serve_, open = open_, fd] {
                Connection connection(fd);
                serve(connection);
                const std::lock_guard lock(open->mutex);
                open->descriptors.erase(fd);
                connection.close();
            }).detach();
        }
    }

    struct OpenConnections {
        std::mutex mutex;
        std::set<int> descriptors;
    };

    Serve serve_;
    std::shared_ptr<OpenConnections> open_ = std::make_shared<OpenConnections>();
    int fd_ = -1;
    std::thread thread_;
};

// ----------------------------------------------------------------------------------------------------- store

/** Value of a member of a flat piece of JSON text; enough for the "metadata" and "spec" that daemons write. */
inline std::string jsonMember(const std::string &text, const std::string &name)
{
    const std::string key = '"' + name + "\":";
    std::size_t at = text.find(key);
    if (at == std::string::npos) {
        return "";
    }
    at += key.size();
    std::size_t end = at;
    int depth = 0;
    bool inString = false;
    for (; end < text.size(); ++end) {
        const char c = text[end];
        if (inString) {
            if (c == '\\') {
                ++end;
            } else if (c == '"') {
                inString = false;
            }
            continue;
        }
        if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            ++depth;
        } else if (c == '}' || c == ']') {
            if (depth == 0) {
                break;
            }
            --depth;
        } else if (c == ',' && depth == 0) {
            break;
        }
    }
    std::string value = text.substr(at, end - at);
    if (value.size() >= 2 && value.front() == '"') {
        value = value.substr(1, value.size() - 2);
    }
    return value;
}

/** The platform's metadata store. */
class Store
{
public:
    explicit Store(const Address &address)
        : address_(address)
        , listener_(address, [this](Connection &connection) { serve(connection); })
    {
    }

    const Address &address() const
    {
        return address_;
    }

    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(mutex_);
        change(kind, name, spec, false);
    }

    /** Specs of a kind by name. */
    std::map<std::string, std::string> list(const std::string &kind)
    {
        const std::lock_guard lock(mutex_);
        std::map<std::string, std::string> specs;
        for (const auto &[name, object] : kinds_[kind]) {
            specs[name] = object.spec;
        }
        return specs;
    }

private:
    struct Object {
        std::string spec;
        std::uint64_t revision = 0;
    };
    struct Event {
        std::string kind;
        std::string name;
        Object object;
        bool deleted = false;
        std::uint64_t revision = 0;
    };

    void change(const std::string &kind, const std::string &name, const std::string &spec, bool deleted)
    {
        ++revision_;
        Object object{spec, revision_};
        if (deleted) {
            object = kinds_[kind][name];
            kinds_[kind].erase(name);
        } else {
            kinds_[kind][name] = object;
        }
        events_.push_back({kind, name, object, deleted, revision_});
        changed_.notify_all();
    }

    static std::string describe(const std::string &name, const Object &object)
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision)
            + ",\"createdAt\":1,\"finalizers\":[],\"deleteRequested\":false},\"spec\":" + object.spec
            + ",\"status\":null}";
    }

    static std::string query(const std::string &target, const std::string &name)
    {
        const std::size_t begin = target.find('?');
        if (begin == std::string::npos) {
            return "";
        }
        std::istringstream parts(target.substr(begin + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.compare(0, name.size() + 1, name + "=") == 0) {
                return part.substr(name.size() + 1);
            }
        }
        return "";
    }

    void serve(Connection &connection)
    {
        Message request;
        while (connection.readMessage(request, kForever) == ReadResult::Complete) {
            const std::string answer = respond(request);
            if (!connection.write(answer) || lower(request.field("Connection")) == "close") {
                return;
            }
        }
    }

    std::string respond(const Message &request)
    {
        const std::string target = request.target();
        std::string path = target.substr(0, target.find('?'));
        const std::string prefix = "/objects/";
        if (path.compare(0, prefix.size(), prefix) != 0) {
            return jsonResponse(404, "{}");
        }
        path.erase(0, prefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        if (request.method() == "GET" && !query(target, "watch").empty()) {
            return watch(kind, std::stoull(query(target, "watch")), std::atoll(query(target, "waitMs").c_str()));
        }
        const std::lock_guard lock(mutex_);
        if (request.method() == "GET" && name.empty()) {
            return listing(kind);
        }
        if (request.method() == "GET") {
            const auto found = kinds_[kind].find(name);
            return found == kinds_[kind].end() ? jsonResponse(404, "{}")
                                               : jsonResponse(200, describe(name, found->second), era());
        }
        return write(request, target, kind, name);
    }

    std::string listing(const std::string &kind)
    {
        std::string items;
        for (const auto &[name, object] : kinds_[kind]) {
            items += (items.empty() ? "" : ",") + describe(name, object);
        }
        return jsonResponse(
            200, "{\"items\":[" + items + "],\"more\":false,\"storeRevision\":" + std::to_string(revision_) + "}",
            era());
    }

    std::string write(const Message &request, const std::string &target, const std::string &kind, std::string name)
    {
        const std::string metadata = jsonMember(request.body, "metadata");
        const std::string spec = jsonMember(request.body, "spec");
        std::string expected = jsonMember(metadata, "revision");
        if (expected.empty()) {
            expected = query(target, "revision");
        }
        if (request.method() == "POST") {
            name = jsonMember(metadata, "name");
        }
        const auto found = kinds_[kind].find(name);
        const bool exists = found != kinds_[kind].end();
        if (request.method() == "POST" && exists) {
            return jsonResponse(409, describe(name, found->second), era());
        }
        if (request.method() != "POST" && !exists) {
            return jsonResponse(404, "{}", era());
        }
        if (exists && !expected.empty() && expected != std::to_string(found->second.revision)) {
            return jsonResponse(409, describe(name, found->second), era());
        }
        if (request.method() == "DELETE") {
            change(kind, name, "", true);
            return jsonResponse(200, "{}", era());
        }
        if (!exists || found->second.spec != spec) {
            change(kind, name, spec, false);
        }
        return jsonResponse(200, describe(name, kinds_[kind][name]), era());
    }

    std::string watch(const std::string &kind, std::uint64_t from, std::int64_t waitMs)
    {
        std::unique_lock lock(mutex_);
        const std::int64_t until = nowMs() + std::min<std::int64_t>(waitMs, 30000);
        while (true) {
            std::string events;
            for (const Event &event : events_) {
                if (event.kind == kind && event.revision > from) {
                    events += (events.empty() ? "" : ",") + std::string("{\"deleted\":")
                        + (event.deleted ? "true" : "false") + ",\"object\":" + describe(event.name, event.object)
                        + "}";
                }
            }
            const std::int64_t left = until - nowMs();
            if (!events.empty() || left <= 0) {
                return jsonResponse(
                    200, "{\"events\":[" + events + "],\"storeRevision\":" + std::to_string(revision_) + "}", era());
            }
            changed_.wait_for(lock, std::chrono::milliseconds(left));
        }
    }

    std::string era() const
    {
        return "Store-Era: 1\r\n";
    }

    Address address_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Object>> kinds_;
    std::vector<Event> events_;
    std::uint64_t revision_ = 100;
    Listener listener_;
};

// ----------------------------------------------------------------------------------------------------- hosts

/** A machine: the addresses of its daemon and of its server. */
struct Host {
    std::string name;
    std::string zone;
    std::string service;
    Address callers = newAddress();
    Address ready = newAddress();
    Address checkIns = newAddress();
    Address peers = newAddress();
    Address metrics = newAddress();
    Address server = newAddress();
};

/** A hibiscusd process, started by the command of the deploy file. */
class Daemon
{
public:
    Daemon(const Host &host, const Address &store, const std::string &folder)
        : host_(host)
        , settings_(folder + "/" + host.name + ".json")
        , log_(folder + "/" + host.name + ".log")
    {
        std::ofstream(settings_) << "{\"mode\":\"mesh\",\"host\":\"" << host.name << "\",\"domain\":\"" << host.zone
                                 << "\",\"service\":\"" << host.service << "\",\"callers\":\"" << host.callers.text()
                                 << "\",\"ready\":\"" << host.ready.text() << "\",\"checkIns\":\""
                                 << host.checkIns.text() << "\",\"peers\":\"" << host.peers.text()
                                 << "\",\"metrics\":\"" << host.metrics.text() << "\",\"backend\":\""
                                 << host.server.text() << "\",\"store\":\"" << store.text()
                                 << "\",\"gracePeriod\":\"6s\",\"retryBudget\":{\"ratio\":0.2,\"window\":\"10s\","
                                    "\"slack\":50}}";
        start();
    }
    ~Daemon()
    {
        kill(SIGKILL);
        wait(3000);
    }

    /** Descriptors that the process may open, as "maxFds" in its settings. */
    static constexpr rlim_t kMaximumDescriptors = 4100;

    void start()
    {
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the case, however that ends.
            rlimit limit{};
            ::getrlimit(RLIMIT_NOFILE, &limit);
            limit.rlim_cur = std::min(limit.rlim_max, kMaximumDescriptors);
            limit.rlim_max = limit.rlim_cur;
            ::setrlimit(RLIMIT_NOFILE, &limit);
            const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const std::string program = "target/bin/hibiscusd";
            ::execl(program.c_str(), program.c_str(), "--settings", settings_.c_str(), nullptr);
            std::_Exit(127);
        }
    }

    void kill(int signal)
    {
        if (pid_ > 0) {
            ::kill(pid_, signal);
        }
    }

    /** Waits for the end; the wait status, or nothing after the time. */
    std::optional<int> wait(std::int64_t timeoutMs)
    {
        const std::int64_t until = nowMs() + timeoutMs;
        int status = 0;
        while (pid_ > 0) {
            if (::waitpid(pid_, &status, WNOHANG) == pid_) {
                pid_ = -1;
                return status;
            }
            if (nowMs() >= until) {
                return std::nullopt;
            }
            sleepMs(5);
        }
        return status;
    }

    bool isReady() const
    {
        Connection connection;
        Message answer;
        return connection.connect(host_.ready, 500) && connection.write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            && connection.readMessage(answer, nowMs() + 1000) == ReadResult::Complete && answer.status() == 200;
    }

    bool waitUntilReady(std::int64_t timeoutMs) const
    {
        const std::int64_t until = nowMs() + timeoutMs;
        while (nowMs() < until) {
            if (isReady()) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }

    /** Resident memory in KiB; 0 if the process is gone. */
    long residentKib() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.compare(0, 6, "VmRSS:") == 0) {
                return std::atol(line.c_str() + 6);
            }
        }
        return 0;
    }

    int openDescriptors() const
    {
        int count = 0;
        const std::string folder = "/proc/" + std::to_string(pid_) + "/fd/";
        for (int fd = 0; fd < static_cast<int>(kMaximumDescriptors); ++fd) {
            count += ::access((folder + std::to_string(fd)).c_str(), F_OK) == 0 ? 1 : 0;
        }
        return count;
    }

    const Host &host() const
    {
        return host_;
    }
    pid_t pid() const
    {
        return pid_;
    }

private:
    Host host_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
};

/** A backend server: checks in with the daemon beside it and runs requests with a function. */
class Server
{
public:
    /** Handles a request of which only the head was read; false to close the connection. */
    using Handle = std::function<bool(Connection &, Message &)>;

    /** The clock of the machine is @p clockAheadMs ahead when the server starts. */
    Server(const Host &host, const std::string &id, int slots, Handle handle, std::int64_t clockAheadMs = 0)
        : host_(host)
        , id_(id)
        , slots_(slots)
        , born_(unixMs() + clockAheadMs)
        , handle_(std::move(handle))
        , listener_(std::make_unique<Listener>(host.server, [this](Connection &connection) { serve(connection); }))
        , beats_([this] { beat(); })
    {
    }
    ~Server()
    {
        stopBeats();
    }

    const std::string &id() const
    {
        return id_;
    }

    /** Says that it drains; true once that is acknowledged. */
    bool drain()
    {
        {
            const std::lock_guard lock(mutex_);
            state_ = "draining";
        }
        isLeaving_ = true;
        return checkIn();
    }

    /** Says that it leaves; true once that is acknowledged. */
    bool leave()
    {
        stopBeats();
        return report("leave", "{\"born\":" + std::to_string(born_) + "}");
    }

    void stopListening()
    {
        listener_.reset();
    }

    /** Its process ends: nothing of it is sent or answered any more. */
    void crash()
    {
        stopBeats();
        listener_->endConnections();
        stopListening();
    }

    /** Ends without a word. */
    void fallSilent()
    {
        stopped_ = true;
        stopListening();
    }

    std::string answer(const Message &request, int status, const std::string &body) const
    {
        return response(status, answerFields(request), body);
    }
    std::string answerFields(const Message &request) const
    {
        return "Hibiscusdale-Request-Id: " + request.field("Hibiscusdale-Request-Id")
            + "\r\nHibiscusdale-Server-Seal: seal-" + id_ + "\r\nKeep-Alive: timeout=10\r\n"
            + (isLeaving_ ? "Server-Leaving: 1\r\n" : "");
    }

private:
    void serve(Connection &connection)
    {
        Message request;
        while (connection.readHead(request, kForever) == ReadResult::Complete) {
            if (request.target() == "/health") {
                if (!connection.write(
                        response(!isLeaving_ ? 200 : 503, "Hibiscusdale-Instance-Id: " + id_ + "\r\n", ""))) {
                    return;
                }
                continue;
            }
            const std::string expected = request.field("Hibiscusdale-Expected-Instance");
            if (!expected.empty() && expected != id_) {
                connection.readBody(request, kForever, false);
                connection.write(response(421, "Hibiscusdale-Instance-Id: " + id_ + "\r\n", ""));
                continue;
            }
            if (!handle_(connection, request)) {
                return;
            }
        }
    }

    bool report(const std::string &call, const std::string &body)
    {
        Connection connection;
        Message answer;
        return connection.connect(host_.checkIns, 500)
            && connection.write("POST /rpc?call=instances." + call + "&of=" + id_
                                + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: "
                                + std::to_string(body.size()) + "\r\n\r\n" + body)
            && connection.readMessage(answer, nowMs() + 1000) == ReadResult::Complete && answer.status() / 100 == 2;
    }

    bool checkIn()
    {
        const std::lock_guard lock(mutex_);
        return report("heartbeat",
                      "{\"service\":\"" + host_.service + "\",\"address\":\"" + host_.server.text() + "\",\"zone\":\""
                          + host_.zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) + ",\"state\":\""
                          + state_ + "\",\"coldLeft\":\"0ms\",\"sequence\":" + std::to_string(++sequence_)
                          + ",\"born\":" + std::to_string(born_) + "}");
    }

    void beat()
    {
        while (!stopped_) {
            const bool acknowledged = checkIn();
            for (int i = 0; i < (acknowledged ? 30 : 4) && !stopped_; ++i) {
                sleepMs(50);
            }
        }
    }

    void stopBeats()
    {
        stopped_ = true;
        if (beats_.joinable()) {
            beats_.join();
        }
    }

    Host host_;
    std::string id_;
    int slots_;
    std::int64_t born_;
    Handle handle_;
    std::mutex mutex_;
    std::string state_ = "ready";
    std::atomic<bool> isLeaving_{false};
    std::uint64_t sequence_ = 0;
    std::atomic<bool> stopped_{false};
    std::unique_ptr<Listener> listener_;
    std::thread beats_;
};

// --------------------------------------------------------------------------------------------------- requests

inline std::string newRequestId()
{
    static std::atomic<std::uint64_t> last{0};
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08llx", static_cast<unsigned>(::getpid()),
                  static_cast<unsigned long long>(++last));
    return text;
}

inline std::string request(const std::string &method, const std::string &path, const std::string &host,
                           const std::string &id, int timeoutMs, std::size_t bodyBytes,
                           const std::string &moreFields = "")
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nHibiscusdale-Request-Id: " + id
        + "\r\nHibiscusdale-Timeout-Ms: " + std::to_string(timeoutMs) + "\r\n" + moreFields;
    if (bodyBytes > 0 || method == "POST") {
        text += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    }
    return text + "\r\n" + std::string(bodyBytes, 'u');
}

struct RouteText {
    std::string name, path, service, kind;
    int timeoutMs, targetMs, priority, attempts;
};

inline std::string configuration(int version, const std::string &host, const std::vector<RouteText> &routes,
                                 const std::set<std::string> &services, const std::string &more = "")
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":{";
    bool first = true;
    for (const RouteText &route : routes) {
        text += std::string(first ? "" : ",") + "\"" + route.name + "\":{\"host\":\"" + host + "\",\"pathPrefix\":\""
            + route.path + "\",\"kind\":\"" + route.kind + "\",\"timeout\":\"" + std::to_string(route.timeoutMs)
            + "ms\",\"targetLatency\":\"" + std::to_string(route.targetMs)
            + "ms\",\"priority\":" + std::to_string(route.priority) + ",\"service\":\"" + route.service
            + "\",\"attempts\":" + std::to_string(route.attempts) + "}";
        first = false;
    }
    text += "},\"services\":{";
    first = true;
    for (const std::string &service : services) {
        text += std::string(first ? "" : ",") + "\"" + service
            + "\":{\"healthPath\":\"/health\",\"maxConnections\":1996,\"protocol\":\"h1\",\"tls\":false}";
        first = false;
    }
    return text
        + "},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
          "\"idleTimeout\":\"15000ms\"}"
        + more + "}";
}

} // namespace StandIn
