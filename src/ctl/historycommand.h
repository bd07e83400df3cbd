#ifndef HIBISCUS_CTL_HISTORYCOMMAND_H
#define HIBISCUS_CTL_HISTORYCOMMAND_H

#include "ctl/commandresult.h"
#include "platform/objectstore.h"

#include <cstddef>
#include <string>

namespace Hibiscus
{

struct HistoryRequest {
    std::size_t limit = 0; ///< Number of versions to examine, starting with the newest.
    std::string changeId; ///< Show only this change, with its full summary; empty shows all changes.
};

/** Shows who changed the configuration, when and how. */
class HistoryCommand
{
public:
    explicit HistoryCommand(ObjectStore &store);

    CommandResult run(const HistoryRequest &request);

private:
    ObjectStore &store_;
};

} // namespace Hibiscus

#endif
