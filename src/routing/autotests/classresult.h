#ifndef HIBISCUS_ROUTING_CLASSRESULT_H
#define HIBISCUS_ROUTING_CLASSRESULT_H

namespace Hibiscus
{

/** What the callers of one class got. */
struct ClassResult {
    int owed = 0;
    int served = 0;

    double share() const
    {
        return owed == 0 ? 1 : static_cast<double>(served) / owed;
    }
};

} // namespace Hibiscus

#endif
