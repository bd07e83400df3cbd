#ifndef HIBISCUS_ADMISSION_FIRSTREQUESTS_H
#define HIBISCUS_ADMISSION_FIRSTREQUESTS_H

#include "core/millis.h"

#include <optional>

namespace Hibiscus
{

/** What the first requests for a server got after its start, for those who operate it. */
class FirstRequests
{
public:
    /** Number of requests that are counted. */
    static constexpr int kCount = 200;

    struct Report {
        int completed = 0;
        int failed = 0; ///< Run without a good response, or cancelled by the caller.
        int refused = 0; ///< Not run, for lack of slots or of time.
        Millis lasted; ///< From the first end of a request to the last.
        Millis meanTime; ///< At the server, of those completed.
    };

    /** The server started: the count begins anew. */
    void begin();

    void completed(Millis atServer, TimePoint now);
    void failed(TimePoint now);
    void refused(TimePoint now);

    /** The report, once after the last of the requests has ended. */
    std::optional<Report> takeReport();

private:
    void count(int &kind, TimePoint now);

    bool isCounting_ = false;
    Report report_;
    std::optional<TimePoint> firstAt_;
    Millis timeSum_;
};

} // namespace Hibiscus

#endif
