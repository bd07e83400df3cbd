#ifndef HIBISCUS_CORE_IDS_H
#define HIBISCUS_CORE_IDS_H

#include "core/strongid.h"
#include "core/textid.h"

#include <cstdint>

namespace Hibiscus
{

/** Name of a backend server in the inventory. */
using ServerName = TextId<struct ServerNameTag>;
/** Name of a service in the inventory. */
using ServiceName = TextId<struct ServiceNameTag>;
/** Name of a failure domain in the inventory. */
using FailureDomainName = TextId<struct FailureDomainNameTag>;
/** Name of a request class in the rules. */
using ClassName = TextId<struct ClassNameTag>;
/** Name of a team: callers who share their keys and one allotment. */
using TeamName = TextId<struct TeamNameTag>;
/** IP address and port, as "127.0.0.1:8080" or "[::1]:8080". */
using HostAddress = TextId<struct HostAddressTag>;

/** Random number generated at the start of a process; distinguishes a restarted process from its predecessor. */
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/** Version of the configuration object in the platform's store; 0 means none. */
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;
/** Hash of a request's service, method, path and body. */
using Signature = StrongId<struct SignatureTag, std::uint64_t>;
/** One attempt to run a request on one backend server; unique in the deployment. */
using AttemptId = StrongId<struct AttemptIdTag, std::uint64_t>;

} // namespace Hibiscus

#endif
