#ifndef HIBISCUS_MEMBERSHIP_AUTOTESTS_SIMULATION_H
#define HIBISCUS_MEMBERSHIP_AUTOTESTS_SIMULATION_H

#include "membership/domainagent.h"
#include "membership/platformlink.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Hibiscus
{

/** Deployment of a few domains on a simulated network and platform. All faults come from one seed. */
class Simulation
{
public:
    /** Clock of one process: it has its own start and runs up to 4% fast or slow. */
    struct ProcessClock : Clock {
        const double *global = nullptr;
        double offset = 0;
        double rate = 1;

        TimePoint now() const override
        {
            return {offset + rate * *global};
        }
    };
    struct Process {
        ServerName name;
        FailureDomainName domain;
        HostAddress address;
        ProcessClock clock;
        SeededRandom random{0};
        std::unique_ptr<DomainAgent> agent;
        bool alive = true;
        bool paused = false;
        bool replaced = false; ///< A successor was started while this process was paused.
        int island = 0; ///< Only processes of one island reach each other.
        bool platformCut = false;
        ConfigVersion highest;
        std::vector<LogEvent> events;
        std::vector<PayloadEntry> entries;
    };
    struct Faults {
        int lossPercent = 0;
        int duplicatePercent = 0;
        double maxDelay = 3;
        bool platformDown = false;
        int lostAnswerPercent = 0; ///< Platform calls that take effect though their answer is lost.
    };

    /** Server names are @p prefix, the domain's name and a number. */
    Simulation(const std::vector<int> &serversPerDomain, std::uint64_t seed, const std::string &prefix = {});

    /** Runs for @p millis and checks the oracle after each event. */
    void run(double millis);
    /** Runs @p action on a process, after its pause if it is paused, unless it has ended. */
    void on(std::size_t process, const std::function<Effects(DomainAgent &)> &action);
    void kill(std::size_t process);
    /** Starts a process under the name of @p process at the same address, after killing it; only kills one that was
     * replaced. */
    void restart(std::size_t process);
    void pause(std::size_t process);
    /** A resumed process that was replaced ends 4 s later at the latest. */
    void resume(std::size_t process);
    /** Starts a successor of a paused process at another address. */
    std::size_t replace(std::size_t process);
    void operatorChange();
    /** Replaces the roster of one domain by all but its first server, or back. Waits for the last change's acceptance.
     */
    void rosterChange(int domain);
    /** Ends all faults: everything is reachable again, paused processes resume, dead names restart. */
    void heal();

    ConfigVersion latest() const;
    ConfigVersion accepted() const;
    bool allCurrent() const;
    std::size_t agents(const FailureDomainName &domain) const;

    std::vector<std::unique_ptr<Process>> processes;
    std::map<std::string, std::size_t> current; ///< Process of each address.
    Faults faults;
    std::vector<std::string> violations;
    std::map<std::string, int> platformCalls; ///< By kind and key.
    /** Called for each message, with its sender, its receiver (null when it is unreachable) and one of both contents.
     */
    std::function<void(const Process &, const Process *, const ControlRequest *, const ControlResponse *)> onMessage;

private:
    struct Object {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Watch {
        std::size_t process;
        PlatformCall call;
        double until;
    };

    std::size_t start(const ServerName &name, const FailureDomainName &domain, const HostAddress &address);
    void at(double delay, std::function<void()> action);
    void step();
    void perform(std::size_t from, const Effects &effects);
    void deliver(std::size_t from, const OutgoingRequest &request);
    void answer(std::size_t from, std::size_t to, RequestId id, const ControlResponse &response);
    void call(std::size_t process, const PlatformCall &call);
    void complete(std::size_t process, PlatformCallId id, PlatformResult result);
    PlatformResult apply(const PlatformCall &call);
    void fireWatches();
    void noteAccepted();
    void writeConfiguration();
    void exitSuperseded(std::size_t process);
    void scheduleTick(std::size_t process);
    void check(std::size_t process);
    bool reaches(std::size_t from, std::size_t to) const;
    bool chance(int percent);
    double delay();

    double time_ = 0;
    SeededRandom random_;
    std::multimap<double, std::function<void()>> queue_;
    std::map<std::size_t, std::vector<std::function<Effects(DomainAgent &)>>> waiting_; ///< For paused processes.
    std::map<std::string, Object> objects_;
    std::vector<Watch> watches_;
    std::vector<HostAddress> seeds_;
    Rosters rosters_;
    std::map<ConfigVersion, Rosters> versions_;
    ConfigVersion accepted_;
    std::map<FailureDomainName, Confirmation> confirmed_;
};

} // namespace Hibiscus

#endif
