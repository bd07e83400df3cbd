#ifndef HIBISCUS_PLATFORM_STANDIN_PLATFORMSERVER_H
#define HIBISCUS_PLATFORM_STANDIN_PLATFORMSERVER_H

#include "core/ids.h"
#include "core/steadyclock.h"
#include "platform/memoryobjectstore.h"
#include "platform_standin/callcounter.h"
#include "platform_standin/droppingserver.h"

#include <string>
#include <thread>

#include <tl/expected.hpp>

namespace Hibiscus
{

struct PlatformServerSettings {
    HostAddress address{"127.0.0.1:0"}; ///< Port 0 lets the system choose one.
    std::size_t threads = 128; ///< Each waiting watch occupies one.
};

/** Serves an in-memory object store through the platform's HTTP object API (docs/platform-api.md). */
class PlatformServer
{
public:
    explicit PlatformServer(PlatformServerSettings settings);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /** Binds the address and starts serving. Returns the bound address or an error text. */
    tl::expected<HostAddress, std::string> open();
    /** Ends waiting watches and stops serving. */
    void close();

    /** Applies the JSON body of POST /faults. Returns an error text, which is empty on success. */
    std::string applyFaults(const std::string &text);
    /** JSON body of GET /stats. */
    std::string stats() const;

private:
    void addObjectRoutes();
    void addControlRoutes();
    void getObject(const httplib::Request &request, httplib::Response &response);
    void listKind(const httplib::Request &request, httplib::Response &response);
    void watchKind(const httplib::Request &request, httplib::Response &response);
    void removeObject(const httplib::Request &request, httplib::Response &response);
    void putObject(const httplib::Request &request, httplib::Response &response);

    PlatformServerSettings settings_;
    MemoryObjectStore store_;
    CallCounter counter_;
    DroppingServer server_;
    std::thread thread_;
};

} // namespace Hibiscus

#endif
