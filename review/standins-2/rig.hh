// Stand-ins of the second review: the platform's object store, backend servers and clients, on loopback addresses and
// the real clock, and the daemons as separate processes. Everything speaks HTTP/1.1 as the users' pages describe it.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
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
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig
{

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;

inline const SteadyClock::time_point kStart = SteadyClock::now();

/** Milliseconds since the start of the case. */
inline std::int64_t now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - kStart).count();
}

inline std::int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

/** Whether the case runs with its disruption. */
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/** Record of a run: record.txt in the folder of the case. */
class Record
{
public:
    void open(const std::string &path)
    {
        file_ = std::fopen(path.c_str(), "w");
    }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(mutex_);
        std::FILE *out = file_ != nullptr ? file_ : stdout;
        std::fprintf(out, "%8.3f  ", static_cast<double>(now()) / 1000);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(out, format, arguments);
        va_end(arguments);
        std::fputc('\n', out);
        std::fflush(out);
    }

private:
    std::mutex mutex_;
    std::FILE *file_ = nullptr;
};

inline Record record;

[[noreturn]] inline void leave(int code)
{
    record.line("exit %d", code);
    std::_Exit(code);
}

struct Message {
    std::string start; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
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
};

inline sockaddr_in endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    return endpoint;
}

/** A free port of 127.0.0.1, below those that the system gives to outgoing connections. Ports are given out once. */
inline std::string freeAddress()
{
    static std::set<int> given;
    static std::mt19937 random{std::random_device()()};
    std::uniform_int_distribution<int> ports(10240, 32000);
    while (true) {
        const std::string address = "127.0.0.1:" + std::to_string(ports(random));
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in endpoint = endpointOf(address);
        const bool isFree = bind(fd, reinterpret_cast<const sockaddr *>(&endpoint), sizeof(endpoint)) == 0;
        close(fd);
        if (isFree && given.insert(ntohs(endpoint.sin_port)).second) {
            return address;
        }
    }
}

/** A connection with the bytes that were read ahead. */
class Connection
{
public:
    explicit Connection(int fd = -1)
        : fd_(fd)
    {
        if (fd_ >= 0) {
            const int on = 1;
            setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        }
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection()
    {
        end();
    }

    static std::shared_ptr<Connection> to(const std::string &address, int timeoutMs = 1000)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in endpoint = endpointOf(address);
        int result = connect(fd, reinterpret_cast<const sockaddr *>(&endpoint), sizeof(endpoint));
        if (result != 0 && errno == EINPROGRESS) {
            pollfd waiting{fd, POLLOUT, 0};
            int error = ETIMEDOUT;
            socklen_t length = sizeof(error);
            if (poll(&waiting, 1, timeoutMs) > 0) {
                getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
            }
            result = error;
        }
        if (result != 0) {
            close(fd);
            return nullptr;
        }
        fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
        return std::make_shared<Connection>(fd);
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t size = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(size));
        }
        return true;
    }

    /** Reads one message with a length; empty if the connection ends or nothing comes in time. */
    std::optional<Message> read(std::int64_t timeoutMs)
    {
        const std::int64_t until = now() + timeoutMs;
        std::size_t end = std::string::npos;
        while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        Message message;
        std::size_t begin = input_.find("\r\n");
        message.start = input_.substr(0, begin);
        while (begin < end) {
            const std::size_t next = input_.find("\r\n", begin + 2);
            const std::string line = input_.substr(begin + 2, next - begin - 2);
            const std::size_t colon = line.find(':');
            const std::size_t value = line.find_first_not_of(" \t", colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
            begin = next;
        }
        input_.erase(0, end + 4);
        const std::string length = message.field("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoull(length);
        if (input_.capacity() < size) {
            input_.reserve(size);
        }
        while (input_.size() < size) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        message.body = input_.substr(0, size);
        input_.erase(0, size);
        return message;
    }

    /** Whether the other side has closed or reset the connection, as far as is known now. */
    bool isEnded()
    {
        char byte = 0;
        const ssize_t size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /** Why the last read ended without a message: "closed", "reset" or "timeout". */
    std::string lastEnd() const
    {
        return lastEnd_;
    }

    int fd() const
    {
        return fd_;
    }

    void shutdownBoth()
    {
        ::shutdown(fd_, SHUT_RDWR);
    }

    void end()
    {
        if (fd_ >= 0) {
            close(fd_);
            fd_ = -1;
        }
    }

private:
    bool fill(std::int64_t until)
    {
        pollfd waiting{fd_, POLLIN, 0};
        const std::int64_t left = until - now();
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            lastEnd_ = "timeout";
            return false;
        }
        static thread_local std::array<char, 262144> buffer;
        const ssize_t size = recv(fd_, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            lastEnd_ = size == 0 ? "closed" : "reset";
            return false;
        }
        input_.append(buffer.data(), static_cast<std::size_t>(size));
        return true;
    }

    int fd_;
    std::string input_;
    std::string lastEnd_;
};

using ConnectionPtr = std::shared_ptr<Connection>;

inline std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Listens at an address and handles each connection in a thread of its own. */
class Listener
{
public:
    using Handler = std::function<void(const ConnectionPtr &)>;

    ~Listener()
    {
        close();
    }

    bool open(const std::string &address, Handler handler)
    {
        handler_ = std::move(handler);
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in endpoint = endpointOf(address);
        if (bind(fd_, reinterpret_cast<const sockaddr *>(&endpoint), sizeof(endpoint)) != 0 || listen(fd_, 1024) != 0) {
            record.line("can't listen at %s: %s", address.c_str(), std::strerror(errno));
            ::close(fd_);
            fd_ = -1;
            return false;
        }
        thread_ = std::thread([this] { accept(); });
        return true;
    }

    /** Closes the listener and all its connections, as a process that ends does. */
    void close()
    {
        if (fd_ < 0) {
            return;
        }
        stopping_ = true;
        ::shutdown(fd_, SHUT_RDWR);
        thread_.join();
        ::close(fd_);
        fd_ = -1;
        const std::lock_guard lock(mutex_);
        for (const std::weak_ptr<Connection> &weak : connections_) {
            if (const ConnectionPtr connection = weak.lock()) {
                connection->shutdownBoth();
            }
        }
        connections_.clear();
        stopping_ = false;
    }

private:
    void accept()
    {
        while (true) {
            const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0 || stopping_) {
                if (fd >= 0) {
                    ::close(fd);
                }
                if (stopping_) {
                    return;
                }
                continue;
            }
            const auto connection = std::make_shared<Connection>(fd);
            {
                const std::lock_guard lock(mutex_);
                std::erase_if(connections_, [](const auto &weak) { return weak.expired(); });
                connections_.push_back(connection);
            }
            std::thread([handler = handler_, connection] { handler(connection); }).detach();
        }
    }

    Handler handler_;
    int fd_ = -1;
    std::thread thread_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<std::weak_ptr<Connection>> connections_;
};

inline std::string percentDecode(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

/** The platform's metadata store: objects by kind and name, conditional writes, listings and watches. */
class Store
{
public:
    bool open()
    {
        address_ = freeAddress();
        return listener_.open(address_, [this](const ConnectionPtr &connection) { serve(connection); });
    }

    const std::string &address() const
    {
        return address_;
    }

    /** Calls with staleOk see the store as it was this long ago. */
    void setStaleness(std::int64_t milliseconds)
    {
        staleness_ = milliseconds;
    }

    /** From now on, nothing is returned on the connections on which a watch waits. New connections work. */
    void silenceOpenConnections()
    {
        const std::lock_guard lock(mutex_);
        ++silences_;
        changed_.notify_all();
    }

    /** What the operator does: writes config/main. Returns when the store has acknowledged it. */
    void writeConfig(const Json &spec)
    {
        const std::lock_guard lock(mutex_);
        put("config", "main", spec);
    }

    /** Objects of the kind, as JSON. */
    Json objects(const std::string &kind)
    {
        const std::lock_guard lock(mutex_);
        Json all = Json::array();
        for (const auto &[name, object] : kinds_[kind]) {
            all.push_back(object);
        }
        return all;
    }

private:
    struct Event {
        std::int64_t at;
        std::uint64_t revision;
        std::string kind;
        Json object;
        bool deleted;
    };

    static constexpr std::size_t kPage = 500;

    void serve(const ConnectionPtr &connection)
    {
        while (const std::optional<Message> request = connection->read(60000)) {
            const std::string text = answer(*request);
            if (text.empty()) {
                // A silent connection stays open until the caller closes it.
                connection->read(600000);
                return;
            }
            if (!connection->send(text)) {
                return;
            }
        }
    }

    static std::string reply(int status, const Json &body)
    {
        return response(status, "Content-Type: application/json\r\nStore-Era: 1\r\n", body.dump());
    }

    static std::string parameter(const std::string &query, const std::string &name)
    {
        std::size_t begin = 0;
        while (begin < query.size()) {
            const std::size_t end = std::min(query.find('&', begin), query.size());
            const std::string part = query.substr(begin, end - begin);
            if (part.rfind(name + "=", 0) == 0) {
                return percentDecode(part.substr(name.size() + 1));
            }
            begin = end + 1;
        }
        return {};
    }

    Json &put(const std::string &kind, const std::string &name, const Json &spec)
    {
        Json &object = kinds_[kind][name];
        if (object.is_null()) {
            object = {{"metadata", {{"name", name}, {"createdAt", 1}, {"finalizers", Json::array()}, {"deleteRequested", false}}},
                      {"status", nullptr}};
        } else if (object["spec"] == spec) {
            return object;
        }
        object["spec"] = spec;
        object["metadata"]["revision"] = ++revision_;
        events_.push_back({now(), revision_, kind, object, false});
        changed_.notify_all();
        return object;
    }

    std::string answer(const Message &request)
    {
        const std::string target = request.target();
        const std::size_t mark = target.find('?');
        const std::string path = percentDecode(target.substr(0, mark));
        const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
        constexpr const char *kPrefix = "/objects/";
        if (path.rfind(kPrefix, 0) != 0) {
            return reply(404, Json::object());
        }
        const std::string rest = path.substr(std::strlen(kPrefix));
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        std::unique_lock lock(mutex_);
        if (request.method() == "GET" && name.empty()) {
            const std::string watch = parameter(query, "watch");
            const std::int64_t staleness = parameter(query, "staleOk") == "1" ? staleness_.load() : 0;
            return watch.empty() ? list(kind, parameter(query, "after"), staleness)
                                 : watchKind(lock, kind, std::stoull(watch), parameter(query, "waitMs"), staleness);
        }
        const Json body = request.body.empty() ? Json::object() : Json::parse(request.body);
        if (request.method() == "POST") {
            const std::string created = body.at("metadata").at("name");
            if (kinds_[kind].contains(created)) {
                return reply(409, kinds_[kind][created]);
            }
            return reply(200, put(kind, created, body.at("spec")));
        }
        const auto found = kinds_[kind].find(name);
        if (found == kinds_[kind].end()) {
            return reply(404, Json::object());
        }
        if (request.method() == "GET") {
            return reply(200, found->second);
        }
        const std::uint64_t revision = found->second["metadata"]["revision"];
        std::string expected = parameter(query, "revision");
        if (expected.empty() && body.contains("metadata") && body["metadata"].contains("revision")) {
            expected = std::to_string(body["metadata"]["revision"].get<std::uint64_t>());
        }
        if (!expected.empty() && std::stoull(expected) != revision) {
            return reply(409, found->second);
        }
        if (request.method() == "PUT") {
            return reply(200, put(kind, name, body.at("spec")));
        }
        const Json removed = found->second;
        kinds_[kind].erase(found);
        events_.push_back({now(), ++revision_, kind, removed, true});
        changed_.notify_all();
        return reply(200, removed);
    }

    std::string list(const std::string &kind, const std::string &after, std::int64_t staleness)
    {
        std::map<std::string, Json> objects;
        std::uint64_t visible = 1;
        for (const Event &event : events_) {
            if (event.at > now() - staleness) {
                break;
            }
            visible = event.revision;
            if (event.kind != kind) {
                continue;
            }
            if (event.deleted) {
                objects.erase(event.object["metadata"]["name"]);
            } else {
                objects[event.object["metadata"]["name"]] = event.object;
            }
        }
        Json items = Json::array();
        bool more = false;
        for (const auto &[name, object] : objects) {
            if (name <= after && !after.empty()) {
                continue;
            }
            if (items.size() == kPage) {
                more = true;
                break;
            }
            items.push_back(object);
        }
        return reply(200, {{"items", items}, {"more", more}, {"storeRevision", visible}});
    }

    /** Empty if the connection has gone silent meanwhile. */
    std::string watchKind(std::unique_lock<std::mutex> &lock, const std::string &kind, std::uint64_t since,
                          const std::string &wait, std::int64_t staleness)
    {
        const std::int64_t until = now() + (wait.empty() ? 0 : std::stoll(wait));
        const std::uint64_t silences = silences_;
        while (true) {
            Json found = Json::array();
            std::uint64_t visible = since;
            for (const Event &event : events_) {
                if (event.at > now() - staleness) {
                    break;
                }
                visible = std::max(visible, event.revision);
                if (event.revision > since && event.kind == kind) {
                    found.push_back({{"object", event.object}, {"deleted", event.deleted}});
                }
            }
            if (silences != silences_) {
                return {};
            }
            if (!found.empty() || now() >= until) {
                return reply(200, {{"events", found}, {"storeRevision", visible}});
            }
            changed_.wait_for(lock, std::chrono::milliseconds(std::min<std::int64_t>(until - now(), staleness > 0 ? 20 : 60000)));
        }
    }

    std::string address_;
    Listener listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Json>> kinds_;
    std::deque<Event> events_;
    std::uint64_t revision_ = 1;
    std::uint64_t silences_ = 0;
    std::atomic<std::int64_t> staleness_{0};
};

/** Addresses of a machine: one daemon and the server beside it. */
struct Machine {
    std::string node;
    std::string zone;
    std::string service;
    std::string callers = freeAddress();
    std::string ready = freeAddress();
    std::string control = freeAddress();
    std::string peers = freeAddress();
    std::string metrics = freeAddress();
    std::string app = freeAddress();
};

/** A daemon: the command of the deploy file with settings from the template's fields. */
class Daemon
{
public:
    Daemon(Machine machine, std::string store, std::string folder, std::string gracePeriod = "6s")
        : machine_(std::move(machine))
        , store_(std::move(store))
        , folder_(std::move(folder))
        , gracePeriod_(std::move(gracePeriod))
    {
        all().push_back(this);
    }

    ~Daemon()
    {
        kill();
        std::erase(all(), this);
    }

    const Machine &machine() const
    {
        return machine_;
    }

    void start()
    {
        const std::string settings = folder_ + "/" + machine_.node + ".json";
        const Json text{{"mode", "mesh"},
                        {"host", machine_.node},
                        {"domain", machine_.zone},
                        {"service", machine_.service},
                        {"callers", machine_.callers},
                        {"ready", machine_.ready},
                        {"checkIns", machine_.control},
                        {"peers", machine_.peers},
                        {"metrics", machine_.metrics},
                        {"backend", machine_.app},
                        {"store", store_},
                        {"gracePeriod", gracePeriod_},
                        {"retryBudget", {{"ratio", 0.2}, {"window", "10s"}, {"slack", 50}}}};
        std::ofstream(settings) << text.dump(1) << '\n';
        const std::string log = folder_ + "/" + machine_.node + ".log";
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setpgid(0, 0);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            setenv("HIBISCUSDALE_CONFIG", settings.c_str(), 1);
            execl("target/bin/hibiscusd", "target/bin/hibiscusd", "--settings", settings.c_str(), nullptr);
            _exit(127);
        }
        record.line("%s: daemon started, pid %d", machine_.node.c_str(), static_cast<int>(pid_));
    }

    void signal(int number) const
    {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }

    /** Whether the process has ended; collects it. */
    bool hasEnded()
    {
        if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ <= 0;
    }

    void kill()
    {
        if (!hasEnded()) {
            signal(SIGKILL);
            signal(SIGCONT);
            waitpid(pid_, &status_, 0);
            pid_ = -1;
        }
    }

    int status() const
    {
        return status_;
    }

    pid_t pid() const
    {
        return pid_;
    }

    /** One question of the platform: whether GET /ready is answered with 200. */
    bool isReady() const
    {
        const ConnectionPtr connection = Connection::to(machine_.ready, 500);
        if (!connection || !connection->send("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
            return false;
        }
        const std::optional<Message> answer = connection->read(500);
        return answer && answer->status() == 200;
    }

    bool waitReady(std::int64_t timeoutMs) const
    {
        const std::int64_t until = now() + timeoutMs;
        while (now() < until) {
            if (isReady()) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }

    /** Ends all daemons; for the end of the case. */
    static void killAll()
    {
        for (Daemon *daemon : all()) {
            daemon->kill();
        }
    }

private:
    static std::vector<Daemon *> &all()
    {
        static std::vector<Daemon *> daemons;
        return daemons;
    }

    Machine machine_;
    std::string store_;
    std::string folder_;
    std::string gracePeriod_;
    pid_t pid_ = -1;
    int status_ = 0;
};

/** One run of a request at a server. */
struct Run {
    std::string id;
    std::string server;
    std::int64_t begun = 0;
    std::int64_t ended = -1;
};

/** Runs at all servers of the case. */
class RunLog
{
public:
    std::size_t begin(const std::string &id, const std::string &server)
    {
        const std::lock_guard lock(mutex_);
        runs_.push_back({id, server, now(), -1});
        return runs_.size() - 1;
    }

    void end(std::size_t run)
    {
        const std::lock_guard lock(mutex_);
        runs_[run].ended = now();
    }

    std::vector<Run> of(const std::string &id) const
    {
        const std::lock_guard lock(mutex_);
        std::vector<Run> found;
        std::copy_if(runs_.begin(), runs_.end(), std::back_inserter(found),
                     [&](const Run &run) { return run.id == id; });
        return found;
    }

    std::vector<Run> all() const
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<Run> runs_;
};

inline RunLog runLog;

/** Requests that servers got with an Authorization field. */
inline std::atomic<int> keysSeen{0};

/** A backend server that checks in with the daemon beside it and runs requests with a fixed work time. */
class Server
{
public:
    Server(Machine machine, std::string id, std::int64_t workMs, int slots = 237)
        : machine_(std::move(machine))
        , id_(std::move(id))
        , workMs_(workMs)
        , slots_(slots)
    {
    }

    ~Server()
    {
        crash();
    }

    /** Starts a boot of the server whose clock is @p clockOffset ahead of true time. */
    bool start(std::int64_t clockOffset = 0)
    {
        born_ = unixMillis() + clockOffset;
        sequence_ = 0;
        state_ = "ready";
        silent_ = false;
        running_ = true;
        if (!listener_.open(machine_.app, [this](const ConnectionPtr &connection) { serve(connection); })) {
            return false;
        }
        record.line("server %s starts at %s, born %lld", id_.c_str(), machine_.app.c_str(),
                    static_cast<long long>(born_));
        heartbeats_ = std::thread([this] { sendHeartbeats(); });
        return true;
    }

    /** The process ends without a word; its connections close. */
    void crash()
    {
        if (!running_.exchange(false)) {
            return;
        }
        heartbeats_.join();
        listener_.close();
        record.line("server %s has ended", id_.c_str());
    }

    /** Reports the state until it is acknowledged; returns the time of the acknowledgement, or -1. */
    std::int64_t report(const std::string &state)
    {
        state_ = state;
        for (int attempt = 0; attempt < 5; ++attempt) {
            if (const std::int64_t acknowledged = checkIn(); acknowledged >= 0) {
                record.line("check-in of %s as %s is acknowledged", id_.c_str(), state.c_str());
                return acknowledged;
            }
        }
        return -1;
    }

    /** Says that the server leaves, as servers do that never report `draining`; returns the time of the ack, or -1. */
    std::int64_t leave()
    {
        state_ = "draining"; // From now on its answers say so, and it sends no more heartbeats.
        silent_ = true;
        const std::lock_guard lock(checkInMutex_);
        const std::string text = Json{{"born", born_}}.dump();
        return post("/rpc?call=instances.leave&of=" + id_, text);
    }

    /** A check-in that is on its way: what it says is fixed now. */
    std::function<std::int64_t()> delayedCheckIn()
    {
        const std::lock_guard lock(checkInMutex_);
        return [this, text = checkInText()] { return post("/rpc?call=instances.heartbeat&of=" + id_, text); };
    }

    std::int64_t checkIn()
    {
        const std::lock_guard lock(checkInMutex_);
        return post("/rpc?call=instances.heartbeat&of=" + id_, checkInText());
    }

private:
    std::string checkInText()
    {
        const Json body{{"service", machine_.service}, {"address", machine_.app}, {"zone", machine_.zone},
                        {"version", "v1"},             {"slots", slots_},         {"state", state_.load()},
                        {"coldLeft", "0ms"},           {"sequence", ++sequence_}, {"born", born_}};
        return body.dump();
    }

    std::int64_t post(const std::string &target, const std::string &text) const
    {
        const ConnectionPtr connection = Connection::to(machine_.control);
        if (!connection) {
            return -1;
        }
        connection->send("POST " + target + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                         + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
        const std::optional<Message> answer = connection->read(1000);
        return answer && answer->status() / 100 == 2 ? now() : -1;
    }

public:
    const std::string &id() const
    {
        return id_;
    }

    void setWork(std::int64_t workMs)
    {
        workMs_ = workMs;
    }

private:
    void sendHeartbeats()
    {
        while (running_) {
            const bool acknowledged = silent_ || checkIn() >= 0;
            const std::int64_t until = now() + (acknowledged ? 1500 : 300);
            while (running_ && now() < until) {
                sleepMs(20);
            }
        }
    }

    void serve(const ConnectionPtr &connection)
    {
        while (const std::optional<Message> request = connection->read(60000)) {
            if (!running_ || !connection->send(answer(*request, connection))) {
                return;
            }
        }
    }

    bool isLeaving() const
    {
        return state_.load() != "ready";
    }

    /** A server that leaves says so in all its answers. */
    std::string leavingField() const
    {
        return isLeaving() ? "Server-Leaving: 1\r\n" : "";
    }

    std::string answer(const Message &request, const ConnectionPtr &connection)
    {
        if (request.target() == "/health") {
            return response(isLeaving() ? 503 : 200, leavingField() + "Hibiscusdale-Instance-Id: " + id_ + "\r\n", "");
        }
        const std::string expected = request.field("Hibiscusdale-Expected-Instance");
        const std::string requestId = request.field("Hibiscusdale-Request-Id");
        if (!expected.empty() && expected != id_) {
            return response(421,
                            leavingField() + "Hibiscusdale-Instance-Id: " + id_ + "\r\nHibiscusdale-Not-Executed: 1\r\n",
                            "");
        }
        if (requestId.empty()) {
            return response(400, leavingField() + "Hibiscusdale-Not-Executed: 1\r\n", "");
        }
        keysSeen += request.field("Authorization").empty() ? 0 : 1;
        const std::size_t run = runLog.begin(requestId, id_);
        // Most servers drop a request when its connection closes.
        const std::int64_t until = now() + workMs_;
        while (now() < until && !connection->isEnded()) {
            sleepMs(std::min<std::int64_t>(5, until - now() + 1));
        }
        runLog.end(run);
        return response(200,
                        leavingField() + "Hibiscusdale-Request-Id: " + requestId + "\r\nHibiscusdale-Server-Seal: " + id_ + "." + requestId
                            + "\r\n",
                        "body of " + requestId + " from " + id_);
    }

    Machine machine_;
    std::string id_;
    std::atomic<std::int64_t> workMs_;
    int slots_;
    std::int64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    struct State {
        State &operator=(const std::string &text)
        {
            const std::lock_guard lock(mutex);
            value = text;
            return *this;
        }
        std::string load() const
        {
            const std::lock_guard lock(mutex);
            return value;
        }
        mutable std::mutex mutex;
        std::string value;
    } state_;
    std::atomic<bool> running_{false};
    std::atomic<bool> silent_{false}; ///< Sends no more heartbeats.
    std::mutex checkInMutex_;
    Listener listener_;
    std::thread heartbeats_;
};

/** An id for a client attempt: 16 hexadecimal digits. */
inline std::string newId()
{
    static std::atomic<std::uint64_t> last{0x9c41d07b00000000ULL + static_cast<std::uint64_t>(getpid()) * 65536};
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++last));
    return text;
}

inline std::string request(const std::string &method, const std::string &host, const std::string &path,
                           const std::string &id, int timeoutMs, const std::string &body = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nHibiscusdale-Request-Id: " + id
        + "\r\nHibiscusdale-Timeout-Ms: " + std::to_string(timeoutMs) + "\r\n"
        + (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

/** Limits of the configuration, as the users' examples have them. */
inline Json limits()
{
    return {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 67108864}, {"headerTimeout", "3000ms"}, {"idleTimeout", "15000ms"}};
}

inline Json route(const std::string &host, const std::string &prefix, const std::string &kind,
                  const std::string &service, const std::string &timeout = "5000ms", int attempts = 2)
{
    return {{"host", host},         {"pathPrefix", prefix},       {"kind", kind},   {"timeout", timeout},
            {"targetLatency", "1500ms"}, {"priority", 1}, {"service", service}, {"attempts", attempts}};
}

inline Json service()
{
    return {{"healthPath", "/health"}, {"maxConnections", 1522}, {"protocol", "h1"}, {"tls", false}};
}

/** Prepares a case: record.txt in the folder of the case, a temporary folder for settings and logs. */
inline std::string prepare(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc < 2) {
        std::fprintf(stderr, "usage: case FOLDER\n");
        std::_Exit(kExitNotRun);
    }
    record.open(std::string(argv[1]) + "/record.txt");
    record.line("TROUBLE=%d", hasTrouble() ? 1 : 0);
    std::string folder = std::filesystem::temp_directory_path().string() + "/review-2-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
        leave(kExitNotRun);
    }
    return folder;
}

/** Ends the case: ends the daemons, removes the temporary folder. */
[[noreturn]] inline void finish(const std::string &folder, int code)
{
    Daemon::killAll();
    if (std::getenv("KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    } else {
        std::fprintf(stderr, "logs in %s\n", folder.c_str());
    }
    leave(code);
}

} // namespace rig
