#ifndef HIBISCUS_ROUTING_BALANCER_H
#define HIBISCUS_ROUTING_BALANCER_H

#include "core/clock.h"
#include "core/errorkind.h"
#include "core/randomsource.h"
#include "routing/domainspill.h"
#include "routing/levelmap.h"
#include "routing/reachablesubset.h"
#include "routing/serverset.h"
#include "routing/usableshare.h"

#include <map>
#include <optional>
#include <vector>

namespace Hibiscus
{

struct BalancerSettings {
    ServerName self; ///< Name of the server whose daemon this is.
    FailureDomainName domain; ///< The daemon's own failure domain.
};

/**
 * Chooses the server for each attempt on one service. The caller reports each attempt with started() right after
 * pick(), under the same lock, and its end with exactly one of finished() and connectFailed().
 */
class Balancer
{
public:
    /** @p clock and @p random must outlive the balancer. */
    Balancer(BalancerSettings settings, const Clock &clock, RandomSource &random);

    /** Replaces the servers of the service with those listed in the directory. */
    void update(const std::vector<ServerView> &servers);

    /**
     * Server for a request of level @p level, other than those in @p exclude. Errors: Overloaded if all remaining
     * servers shed this level, NoServer if none remains.
     */
    Result<ServerName> pick(Level level, const std::vector<ServerName> &exclude);

    void started(const ServerName &name);
    void finished(const ServerName &name, const AttemptFeedback &feedback);
    /** No connection could be made, so the attempt was not sent. */
    void connectFailed(const ServerName &name);
    /** The daemon responded that this server is not beside it: either the daemon was restarted and has not met the
     * server yet, or the server is lost. */
    void serverMissing(const ServerName &name);

    /** Records a restart of the daemon beside a server. The next update() overwrites the incarnation set here. */
    void setIncarnation(const ServerName &name, Incarnation incarnation);

    /** View of a server of the service, whether or not it is in the subset; null if it is unknown. */
    const ServerView *find(const ServerName &name) const;

    /** Lowest level that some server of the subset admits; requests below it can be shed at once. */
    Level admittedLevel() const;

    /** Servers that pick() chooses from: those of a ReachableSubset. */
    const std::vector<ServerView> &subset() const;

    /** Time since the last response of the daemon beside @p name; without one, since the server was first seen. */
    Millis timeSinceResponse(const ServerName &name) const;

    /** Limit that @p name named when its daemon last responded; empty if none. */
    std::optional<RequestRate> rateLimit(const ServerName &name) const;

    /** Attempts of this daemon that are in flight at @p name. */
    int inFlight(const ServerName &name) const;

    /** Whether connect failures currently keep @p name from being picked. */
    bool isEjected(const ServerName &name) const;

private:
    /** State of a server, kept while it is known or has attempts in flight. */
    struct Record {
        int inFlight = 0;
        std::int64_t serverStartedAt = 0;
        TimePoint respondedAt; ///< Time of the last response; when it was first seen until there is one.
        UsableShare usable; ///< Of this process of the server.
        std::optional<int> headroom;
        double busyShare = 0; ///< Of the limit reported along with the headroom.
        double slowdown = 1; ///< Reported along with the headroom.
        double failingShare = 0; ///< Reported along with the headroom.
        TimePoint headroomAt;
        std::optional<RequestRate> rateLimit; ///< Outlasts restarts of the daemon.
        bool hasResponded = false;
        int connectFailures = 0; ///< Consecutive.
        bool ejected = false;
        Millis backoff;
        TimePoint probeAt; ///< Earliest time of the next probe of an ejected server.
        bool probing = false;
    };

    struct Candidate {
        const ServerView *server;
        const Record *record;
        double usableShare; ///< Of the server's slots, from above 0 to 1.
        std::optional<int> limit; ///< As reported; empty if unknown or if the rate of the server is limited.
    };

    void reset(const ServerName &name);
    void selectSubset();
    static bool isOutOfReach(const Record &record);
    Record *release(const ServerName &name);
    bool mayBeTried(const Record &record) const;
    bool hasCurrentHeadroom(const Record &record) const;
    Candidate candidateFor(const ServerView &server, const Record &record) const;
    double score(const Candidate &candidate, bool useHeadroom, double perLimit) const;
    ServerCondition condition(const Candidate &candidate) const;
    bool isBetter(const Candidate &a, double penalty, const Candidate &b) const;
    bool leavesDomain(const Candidate &own, const Candidate &other);
    std::optional<Candidate> chooseOfTwo(const std::vector<Candidate> &candidates);
    std::size_t drawByShare(const std::vector<Candidate> &candidates, std::optional<std::size_t> except);

    BalancerSettings settings_;
    const Clock &clock_;
    RandomSource &random_;
    ServerSet servers_;
    ReachableSubset reachable_;
    std::vector<ServerView> subset_;
    std::map<ServerName, Record> records_;
    LevelMap<ServerName> levels_;
};

} // namespace Hibiscus

#endif
