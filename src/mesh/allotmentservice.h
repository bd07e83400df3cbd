#ifndef HIBISCUS_MESH_ALLOTMENTSERVICE_H
#define HIBISCUS_MESH_ALLOTMENTSERVICE_H

#include "daemon/sharedtables.h"
#include "directory/serverdirectory.h"
#include "http/httpclient.h"
#include "http/httphandler.h"
#include "teams/allotmentledger.h"
#include "teams/lenderchoice.h"
#include "teams/lentallotmentgate.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>

namespace Hibiscus
{

/**
 * Lends allotments to other daemons and borrows them from others. Handles the reports of other daemons as an
 * HttpHandler. As long as no team has a limit it sends no message and sets no timer. All functions run on the thread of
 * the io_context.
 */
class AllotmentService : public AllotmentGate, public HttpHandler
{
public:
    /** Target of the reports on the peers listener. A request without a body is a probe, which is answered at once. */
    static constexpr const char *kTarget = "/allotments";

    /** All references must outlive the object. */
    AllotmentService(asio::io_context &context, HttpClient &client, const DaemonIdentity &self, const Clock &clock,
                     RandomSource &random);

    void admit(const TeamName &team, Callback callback) override;
    void giveBack(const TeamName &team) override;

    /** Uses the allotments of @p teams, and the daemons of @p directory, from now on. */
    void setTeams(const std::vector<Team> &teams, const ServerDirectory &directory);
    /** Uses the daemons of @p directory from now on. */
    void setDirectory(const ServerDirectory &directory);

    void handle(HttpRequest request, HttpResponder respond) override;

    /** Metrics of the teams with a limit in the Prometheus text exposition format; empty if there are none. */
    std::string exposition() const;

private:
    using Reply = LentAllotmentGate::Reply;

    void send(Partition partition, const AllotmentReport &report, const Reply &reply);
    void noteContact(Partition partition, const HostAddress &lender, bool answered);
    void useLenders();
    void probe();
    void recordContact(const HostAddress &daemon, bool answered);
    void scheduleTick();
    void tick();

    HttpClient &client_;
    const DaemonIdentity &self_;
    const Clock &clock_;
    LentAllotmentGate gate_;
    AllotmentLedger ledger_;
    LenderChoice choice_;
    std::array<std::optional<HostAddress>, kPartitions> lenders_; ///< That the gate reports to.
    std::array<bool, kPartitions> isSilent_{}; ///< The lender has not answered the last report.
    asio::steady_timer timer_;
    bool isTicking_ = false;
    unsigned ticks_ = 0;
};

} // namespace Hibiscus

#endif
