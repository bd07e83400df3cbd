#include "daemon/startlog.h"

#include "core/logevent.h"

namespace Hibiscus
{

namespace
{

void logFullShare(const ServerName &server, const PaceReport &report)
{
    logEvent(LogEvent::ServerShareFull, "",
             {{"server", server.value()},
              {"firstAnswerMs", report.toFirstAnswer},
              {"fullShareMs", report.toFull},
              {"stepsBack", report.stepsBack}});
}

void logFirstRequests(const ServerName &server, const FirstRequests::Report &report)
{
    logEvent(LogEvent::ServerFirstRequests, "",
             {{"server", server.value()},
              {"completed", report.completed},
              {"failed", report.failed},
              {"refused", report.refused},
              {"lastedMs", report.lasted},
              {"atServerMs", report.meanTime}});
}

} // namespace

void logStartProgress(const ServerName &server, SharedTables &tables)
{
    const auto [pace, first] = tables.admission.with([](AdmissionController &admission) {
        return std::pair(admission.pace().takeReport(), admission.firstRequests().takeReport());
    });
    if (pace) {
        logFullShare(server, *pace);
    }
    if (first) {
        logFirstRequests(server, *first);
    }
}

} // namespace Hibiscus
