#ifndef HIBISCUS_DAEMON_GUARDED_H
#define HIBISCUS_DAEMON_GUARDED_H

#include <mutex>
#include <utility>

namespace Hibiscus
{

/**
 * A table shared by the workers, with its mutex. The function given to with() must not call callbacks, do I/O or use
 * another table that comes earlier in the lock order of docs/design.md, section 4.2.
 */
template<class Table>
class Guarded
{
public:
    template<class... Arguments>
    explicit Guarded(Arguments &&...arguments)
        : table_(std::forward<Arguments>(arguments)...)
    {
    }

    template<class Function>
    auto with(Function function)
    {
        const std::lock_guard lock(mutex_);
        return function(table_);
    }

private:
    std::mutex mutex_;
    Table table_;
};

} // namespace Hibiscus

#endif
