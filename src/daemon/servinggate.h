#ifndef HIBISCUS_DAEMON_SERVINGGATE_H
#define HIBISCUS_DAEMON_SERVINGGATE_H

namespace Hibiscus
{

/** Says whether this process may serve now, that is, whether it holds a freshness lease. */
class ServingGate
{
public:
    virtual ~ServingGate() = default;
    virtual bool mayServe() const = 0;
};

} // namespace Hibiscus

#endif
