#ifndef HIBISCUS_DAEMON_SHAREDTABLES_H
#define HIBISCUS_DAEMON_SHAREDTABLES_H

#include "admission/admissioncontroller.h"
#include "core/randomsource.h"
#include "daemon/callscopetable.h"
#include "daemon/configurationholder.h"
#include "daemon/guarded.h"
#include "daemon/latencytracker.h"
#include "daemon/metrics.h"
#include "daemon/serverquality.h"
#include "execution/arbiter.h"
#include "execution/attempttable.h"
#include "quarantine/crashledger.h"
#include "quarantine/suspectslot.h"

namespace Hibiscus
{

/** Identity and addresses of this process. */
struct DaemonIdentity {
    ServerName server;
    FailureDomainName domain;
    HostAddress peers; ///< Bound address of the peers listener.
    HostAddress backend;
    Incarnation incarnation;
};

/** State that the workers share, in lock order. Each table has its own mutex. */
struct SharedTables {
    SharedTables(const DaemonIdentity &self, const Clock &clock)
        : arbiter(self.peers, self.incarnation, clock)
        , attempts(self.incarnation, clock)
        , admission(AdmissionSettings{}, clock)
        , scopes(clock)
        , crashes(clock)
    {
    }

    ConfigurationHolder configuration;
    Guarded<Arbiter> arbiter;
    Guarded<AttemptTable> attempts;
    Guarded<AdmissionController> admission;
    Guarded<CallScopeTable> scopes;
    Guarded<CrashLedger> crashes;
    Guarded<SuspectSlot> suspects;
    Guarded<LatencyTracker> callLatency; ///< Duration of attempts as their coordinators see it, by durationKey().
    Guarded<ServerQuality> quality; ///< Of the local backend server.
    Guarded<LatencyTracker> ownTime; ///< Own service time by route, or by class for calls without one.
    Metrics metrics;
};

} // namespace Hibiscus

#endif
