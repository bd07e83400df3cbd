// Parts that the review cases share: a stand-in of the platform's store, an HTTP connection, server check-ins, and the
// daemons as separate processes. Only the C++ library, POSIX and nlohmann/json are used. All addresses are loopback.
#pragma once

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace rig
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kHeld = 0; // The rule held.
constexpr int kBroken = 1; // The rule was broken.
constexpr int kNotRun = 2; // The case could not run.

inline Clock::time_point startTime = Clock::now();

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startTime).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

inline void sleepUntil(std::int64_t atMs)
{
    sleepMs(std::max<std::int64_t>(0, atMs - nowMs()));
}

/** The file record.txt of a case: one line for each thing that was sent, answered, run or done. */
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(std::fopen(path.c_str(), "w"))
    {
    }

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        char text[2000];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%8lld ms  %s\n", static_cast<long long>(nowMs()), text);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE *file_;
};

inline bool isTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

[[noreturn]] inline void giveUp(const std::string &reason)
{
    std::fprintf(stderr, "the case could not run: %s\n", reason.c_str());
    throw kNotRun;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** Listens on 127.0.0.1; @p receiveBuffer limits the receive buffer of accepted connections, 0 leaves it alone. */
inline int listenOn(int port, int receiveBuffer = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (receiveBuffer > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    const sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        giveUp("port " + std::to_string(port) + " can't be used");
    }
    return fd;
}

/** Free ports below the range from which the system takes the ports of outgoing connections. All are held until the
 * last one is chosen, so they differ. */
inline std::vector<int> freePorts(int count)
{
    constexpr int kFirstPort = 12000;
    constexpr int kPortCount = 19000;
    static int next = kFirstPort + static_cast<int>(std::random_device()() % kPortCount);
    std::vector<int> ports;
    std::vector<int> sockets;
    for (int tried = 0; static_cast<int>(ports.size()) < count && tried < kPortCount; ++tried) {
        next = next + 1 < kFirstPort + kPortCount ? next + 1 : kFirstPort;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(next);
        if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
            ports.push_back(next);
            sockets.push_back(fd);
        } else {
            ::close(fd);
        }
    }
    for (const int fd : sockets) {
        ::close(fd);
    }
    if (static_cast<int>(ports.size()) < count) {
        giveUp("no free ports");
    }
    return ports;
}

struct Message {
    std::string start; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[field, value] : headers) {
            if (strcasecmp(field.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    std::string method() const
    {
        return start.substr(0, start.find(' '));
    }

    std::string target() const
    {
        const std::size_t begin = start.find(' ') + 1;
        return start.substr(begin, start.find(' ', begin) - begin);
    }

    int status() const
    {
        return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
    }

    std::size_t length() const
    {
        return static_cast<std::size_t>(std::atoll(header("Content-Length").c_str()));
    }
};

/** A connection that reads and writes HTTP/1.1 messages with a length. */
class Connection
{
public:
    explicit Connection(int fd)
        : fd_(fd)
    {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~Connection()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int fd() const
    {
        return fd_;
    }

    bool write(const std::string &bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t size = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(size);
        }
        return true;
    }

    /** Reads up to @p limit more bytes; false at the end of the connection or after the time. */
    bool readMore(int timeoutMs, std::size_t limit = 65536)
    {
        pollfd entry{fd_, POLLIN, 0};
        if (::poll(&entry, 1, timeoutMs) != 1) {
            return false;
        }
        std::vector<char> buffer(limit);
        const ssize_t size = ::recv(fd_, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return false;
        }
        input_.append(buffer.data(), static_cast<std::size_t>(size));
        return true;
    }

    /** Reads the head of the next message and leaves the body unread. */
    bool readHead(Message &message, int timeoutMs)
    {
        std::size_t end = 0;
        while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(timeoutMs)) {
                return false;
            }
        }
        message = {};
        std::size_t begin = 0;
        while (begin < end) {
            const std::size_t lineEnd = std::min(input_.find("\r\n", begin), end);
            const std::string line = input_.substr(begin, lineEnd - begin);
            begin = lineEnd + 2;
            if (message.start.empty()) {
                message.start = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon),
                                         value == std::string::npos ? std::string() : line.substr(value));
        }
        input_.erase(0, end + 4);
        return true;
    }

    bool readBody(Message &message, int timeoutMs)
    {
        const std::size_t length = message.length();
        while (input_.size() < length) {
            if (!readMore(timeoutMs)) {
                return false;
            }
        }
        message.body = input_.substr(0, length);
        input_.erase(0, length);
        return true;
    }

    bool read(Message &message, int timeoutMs)
    {
        return readHead(message, timeoutMs) && readBody(message, timeoutMs);
    }

    /** Bytes that were received and not taken yet. */
    std::string &input()
    {
        return input_;
    }

private:
    int fd_;
    std::string input_;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/** Connects to 127.0.0.1; null if that fails. */
inline ConnectionPtr dial(int port, int receiveBuffer = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<Connection>(fd);
}

inline std::string response(int status, const std::vector<std::pair<std::string, std::string>> &headers,
                            const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Accepts connections on a thread of its own and runs @p handler for each on a thread. */
class Listener
{
public:
    Listener(int port, std::function<void(const ConnectionPtr &)> handler, int receiveBuffer = 0)
        : handler_(std::move(handler))
        , fd_(listenOn(port, receiveBuffer))
    {
        std::thread([this] {
            while (true) {
                const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                std::thread(handler_, std::make_shared<Connection>(fd)).detach();
            }
        }).detach();
    }

private:
    std::function<void(const ConnectionPtr &)> handler_;
    int fd_;
};

/** Stand-in of the platform's store: objects by kind and name, conditional writes, watches. It is never impaired. */
class Store
{
public:
    explicit Store(int port)
        : listener_(port, [this](const ConnectionPtr &connection) { serve(connection); })
    {
    }

    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard lock(mutex_);
        Json object{{"metadata", {{"name", name}}}, {"spec", spec}};
        store(kind, name, object);
    }

    /** Writes an object whose spec is @p text as it stands, which need not be valid JSON. */
    void putRaw(const std::string &kind, const std::string &name, const std::string &text)
    {
        {
            const std::lock_guard lock(mutex_);
            rawSpec_ = text;
        }
        put(kind, name, kRawPlaceholder);
    }

    /** The spec of an object; null if there is none. */
    Json get(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        const auto found = objects_[kind].find(name);
        return found == objects_[kind].end() ? Json() : found->second["spec"];
    }

    std::size_t count(const std::string &kind)
    {
        const std::lock_guard lock(mutex_);
        return objects_[kind].size();
    }

private:
    struct Event {
        std::uint64_t revision;
        std::string kind;
        Json object;
        bool deleted;
    };

    void store(const std::string &kind, const std::string &name, const Json &received)
    {
        Json object;
        const auto found = objects_[kind].find(name);
        const Json createdAt = found == objects_[kind].end() ? Json(unixMs()) : found->second["metadata"]["createdAt"];
        object["metadata"] = {{"name", name},
                              {"revision", ++revision_},
                              {"createdAt", createdAt},
                              {"finalizers", Json::array()},
                              {"deleteRequested", false}};
        object["spec"] = received.contains("spec") ? received["spec"] : Json();
        object["status"] = Json();
        objects_[kind][name] = object;
        events_.push_back({revision_, kind, object, false});
        changed_.notify_all();
    }

    void serve(const ConnectionPtr &connection)
    {
        Message request;
        while (connection->read(request, 60000)) {
            const auto [status, body] = handle(request);
            if (!connection->write(response(status, {{"Content-Type", "application/json"}}, textOf(body)))) {
                return;
            }
        }
    }

    std::string textOf(const Json &body)
    {
        std::string text = body.dump();
        const std::string quoted = std::string("\"") + kRawPlaceholder + "\"";
        const std::lock_guard lock(mutex_);
        for (std::size_t at = text.find(quoted); at != std::string::npos; at = text.find(quoted, at + rawSpec_.size())) {
            text.replace(at, quoted.size(), rawSpec_);
        }
        return text;
    }

    std::pair<int, Json> handle(const Message &request)
    {
        const std::string target = request.target();
        const std::size_t question = target.find('?');
        std::string path = target.substr(0, question);
        std::map<std::string, std::string> query;
        for (std::string rest = question == std::string::npos ? "" : target.substr(question + 1); !rest.empty();) {
            const std::string part = rest.substr(0, rest.find('&'));
            rest = part.size() == rest.size() ? "" : rest.substr(part.size() + 1);
            const std::size_t equals = part.find('=');
            query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
        }
        constexpr std::size_t kPrefix = sizeof("/objects/") - 1;
        path = path.substr(std::min(path.size(), kPrefix));
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        const Json body = Json::parse(request.body, nullptr, false);
        std::unique_lock lock(mutex_);
        auto &objects = objects_[kind];
        if (request.method() == "GET" && query.contains("watch")) {
            return watch(lock, kind, std::stoull(query["watch"]), std::stoll(query["waitMs"]));
        }
        if (request.method() == "GET" && name.empty()) {
            Json items = Json::array();
            for (const auto &[key, object] : objects) {
                if (key > query["after"]) {
                    items.push_back(object);
                }
            }
            return {200, {{"items", items}, {"more", false}, {"storeRevision", revision_}}};
        }
        if (request.method() == "POST") {
            if (!body.is_object() || !body.contains("metadata")) {
                return {400, Json::object()};
            }
            name = body["metadata"].value("name", "");
            if (objects.contains(name)) {
                return {409, objects[name]};
            }
            store(kind, name, body);
            return {201, objects[name]};
        }
        const auto found = objects.find(name);
        if (found == objects.end()) {
            return {404, Json::object()};
        }
        const std::uint64_t revision = found->second["metadata"]["revision"].get<std::uint64_t>();
        if (request.method() == "GET") {
            return {200, found->second};
        }
        if (request.method() == "DELETE") {
            if (query.contains("revision") && std::stoull(query["revision"]) != revision) {
                return {409, found->second};
            }
            const Json object = found->second;
            objects.erase(found);
            events_.push_back({++revision_, kind, object, true});
            changed_.notify_all();
            return {200, object};
        }
        if (!body.is_object()) {
            return {400, Json::object()};
        }
        if (body["metadata"].contains("revision") && body["metadata"]["revision"] != revision) {
            return {409, found->second};
        }
        if (body["spec"] != found->second["spec"]) {
            store(kind, name, body);
        }
        return {200, objects[name]};
    }

    std::pair<int, Json> watch(std::unique_lock<std::mutex> &lock, const std::string &kind, std::uint64_t revision,
                               std::int64_t waitMs)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(waitMs);
        Json found = Json::array();
        while (true) {
            for (const Event &event : events_) {
                if (event.kind == kind && event.revision > revision) {
                    found.push_back({{"object", event.object}, {"deleted", event.deleted}});
                }
            }
            if (!found.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
                return {200, {{"events", found}, {"storeRevision", revision_}}};
            }
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Json>> objects_;
    std::vector<Event> events_;
    static constexpr const char *kRawPlaceholder = "(raw)";
    std::string rawSpec_;
    std::uint64_t revision_ = 100;
    Listener listener_;
};

/** A child process that ends with the case. */
class Process
{
public:
    Process(std::vector<std::string> command, std::string logFile)
        : command_(std::move(command))
        , logFile_(std::move(logFile))
    {
    }

    ~Process()
    {
        stop();
    }

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start()
    {
        std::vector<char *> arguments;
        for (std::string &argument : command_) {
            arguments.push_back(argument.data());
        }
        arguments.push_back(nullptr);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the case, however that ends.
            const int log = ::open(logFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::signal(SIGPIPE, SIG_DFL);
            ::execv(arguments[0], arguments.data());
            ::_exit(127);
        }
    }

    void signal(int number) const
    {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }

    /** Whether the process has ended; @p status gets its wait status. */
    bool hasEnded(int *status = nullptr)
    {
        int ended = 0;
        if (pid_ > 0 && ::waitpid(pid_, &ended, WNOHANG) == pid_) {
            pid_ = -1;
            if (status != nullptr) {
                *status = ended;
            }
        }
        return pid_ < 0;
    }

    /** Ends the process at once and waits for that. */
    void stop()
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

private:
    std::vector<std::string> command_;
    std::string logFile_;
    pid_t pid_ = -1;
};

/** One machine: the addresses of its daemon and its backend server, and the daemon as a process. */
struct Machine {
    std::string host;
    std::string zone;
    std::string service;
    int outbound = 0;
    int ready = 0;
    int control = 0;
    int inbound = 0;
    int metrics = 0;
    int app = 0;
    std::unique_ptr<Process> daemon;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(app);
    }
};

inline std::string at(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/** Program and settings as in deploy/system.toml and deploy/settings.json.template; bounds as in a small site. */
inline Machine makeMachine(const std::string &folder, const std::string &daemonProgram, const std::string &host,
                           const std::string &zone, const std::string &service, int storePort)
{
    const std::vector<int> ports = freePorts(6);
    Machine machine{host, zone, service, ports[0], ports[1], ports[2], ports[3], ports[4], ports[5], nullptr};
    const Json settings{{"mode", "mesh"},
                        {"host", host},
                        {"domain", zone},
                        {"service", service},
                        {"callers", at(machine.outbound)},
                        {"ready", at(machine.ready)},
                        {"checkIns", at(machine.control)},
                        {"peers", at(machine.inbound)},
                        {"metrics", at(machine.metrics)},
                        {"backend", at(machine.app)},
                        {"store", at(storePort)},
                        {"gracePeriod", "6s"},
                        {"retryBudget", {{"ratio", 0.2}, {"window", "10s"}, {"slack", 50}}}};
    const std::string file = folder + "/" + host + ".json";
    std::ofstream(file) << settings.dump(4);
    machine.daemon = std::make_unique<Process>(std::vector<std::string>{daemonProgram, "--settings", file},
                                               folder + "/" + host + ".log");
    return machine;
}

inline Json route(const std::string &host, const std::string &prefix, const std::string &kind,
                  const std::string &service, const std::string &timeout)
{
    return {{"host", host},       {"pathPrefix", prefix}, {"kind", kind},       {"timeout", timeout},
            {"targetLatency", "1500ms"}, {"priority", 0},   {"service", service}, {"attempts", 2}};
}

inline Json configuration(const std::map<std::string, Json> &routes, const std::vector<std::string> &services)
{
    Json config{{"version", 7}, {"routes", routes}, {"services", Json::object()}};
    for (const std::string &service : services) {
        config["services"][service] = {
            {"healthPath", "/health"}, {"maxConnections", 1522}, {"protocol", "h1"}, {"tls", false}};
    }
    config["limits"] = {{"maxHeaderBytes", 16384},
                        {"maxBodyBytes", 67108864},
                        {"headerTimeout", "3000ms"},
                        {"idleTimeout", "15000ms"}};
    return config;
}

/** An object that is never destroyed, because threads use it until the process ends. */
template<class Type, class... Parameters>
Type &makeStandIn(Parameters &&...parameters)
{
    return *new Type(std::forward<Parameters>(parameters)...);
}

/** One process of a backend server, as far as its check-ins go. */
struct ServerProcess {
    std::string id;
    std::int64_t born = 0;
    std::uint64_t sequence = 0;
};

inline std::string heartbeatText(const Machine &machine, const ServerProcess &server, const std::string &state,
                                 std::uint64_t sequence)
{
    const Json body{{"service", machine.service}, {"address", machine.address()}, {"zone", machine.zone},
                    {"version", "v1"},            {"slots", 100},                 {"state", state},
                    {"coldLeft", "0ms"},          {"sequence", sequence},         {"born", server.born}};
    const std::string text = body.dump();
    return "POST /rpc?call=instances.heartbeat&of=" + server.id + " HTTP/1.1\r\nHost: " + at(machine.control)
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

inline std::string leaveText(const Machine &machine, const ServerProcess &server)
{
    const std::string text = Json{{"born", server.born}}.dump();
    return "POST /rpc?call=instances.leave&of=" + server.id + " HTTP/1.1\r\nHost: " + at(machine.control)
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

/** Sends one call on a new connection and returns the status of the response; 0 if there is none in a second. */
inline int callOnce(int port, const std::string &text, int timeoutMs = 1000)
{
    const ConnectionPtr connection = dial(port);
    Message answer;
    if (!connection || !connection->write(text) || !connection->read(answer, timeoutMs)) {
        return 0;
    }
    return answer.status();
}

inline bool isReady(const Machine &machine)
{
    return callOnce(machine.ready, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") == 200;
}

inline void waitUntilReady(const std::vector<const Machine *> &machines, std::int64_t limitMs)
{
    const std::int64_t until = nowMs() + limitMs;
    for (const Machine *machine : machines) {
        while (!isReady(*machine)) {
            if (nowMs() > until) {
                giveUp(machine->host + " is not ready");
            }
            sleepMs(50);
        }
    }
}

/** Runs a function again and again on a thread until it is destroyed. */
class Repeater
{
public:
    Repeater(std::int64_t intervalMs, std::function<void()> function)
        : thread_([this, intervalMs, function = std::move(function)] {
            constexpr std::int64_t kStepMs = 20;
            for (std::int64_t waited = 0; !stopping_; waited += kStepMs) {
                if (waited >= intervalMs) {
                    function();
                    waited = 0;
                }
                sleepMs(kStepMs);
            }
        })
    {
    }

    ~Repeater()
    {
        stopping_ = true;
        thread_.join();
    }

    Repeater(const Repeater &) = delete;
    Repeater &operator=(const Repeater &) = delete;

private:
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/**
 * Answers what a sound server doesn't run: health checks (503 while it leaves), requests for another instance (421) and
 * requests without an id (400). False if @p request is to be run. A server that leaves says so in all its answers.
 */
inline bool answerWithoutRunning(const ConnectionPtr &connection, const Message &request, const std::string &id,
                                 bool isLeaving = false)
{
    constexpr int kOk = 200;
    constexpr int kBadRequest = 400;
    constexpr int kMisdirected = 421;
    constexpr int kUnavailable = 503;
    const std::string requestId = request.header("Hibiscusdale-Request-Id");
    const std::string expected = request.header("Hibiscusdale-Expected-Instance");
    const bool isHealthCheck = request.target() == "/health";
    const bool isMisdirected = !expected.empty() && expected != id;
    if (!isHealthCheck && !isMisdirected && !requestId.empty()) {
        return false;
    }
    std::vector<std::pair<std::string, std::string>> headers{{"Hibiscusdale-Instance-Id", id}};
    if (isLeaving) {
        headers.emplace_back("Server-Leaving", "1");
    }
    if (!isHealthCheck) {
        headers.emplace_back("Hibiscusdale-Not-Executed", "1");
    }
    if (!requestId.empty()) {
        headers.emplace_back("Hibiscusdale-Request-Id", requestId);
    }
    const int healthStatus = isLeaving ? kUnavailable : kOk;
    const int status = isHealthCheck ? healthStatus : (isMisdirected ? kMisdirected : kBadRequest);
    connection->write(response(status, headers, ""));
    return true;
}

inline std::string sealedAnswer(const Message &request, int status, const std::string &body)
{
    return response(status,
                    {{"Hibiscusdale-Request-Id", request.header("Hibiscusdale-Request-Id")},
                     {"Hibiscusdale-Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"}},
                    body);
}

inline std::string requestText(const std::string &method, const std::string &host, const std::string &path,
                               const std::string &id, int timeoutMs, const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nHibiscusdale-Request-Id: " + id
        + "\r\nHibiscusdale-Timeout-Ms: " + std::to_string(timeoutMs)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Arguments of a case: the folder for settings and logs, the daemon program, and the file of the record. */
struct Arguments {
    std::string folder;
    std::string daemon;
    std::string record;
};

/** Runs @p body; its result is the exit status of the case. Stand-ins must be made with makeStandIn(), since their
 * threads use them until the process ends. */
inline int runCase(int argc, char **argv, const std::function<int(const Arguments &)> &body)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: %s FOLDER DAEMON RECORD\n", argv[0]);
        return kNotRun;
    }
    ::signal(SIGPIPE, SIG_IGN);
    int result = kNotRun;
    try {
        result = body({argv[1], argv[2], argv[3]});
    } catch (int status) {
        result = status;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "the case could not run: %s\n", error.what());
    }
    std::fflush(nullptr);
    ::_exit(result);
}

} // namespace rig
