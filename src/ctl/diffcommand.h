#ifndef HIBISCUS_CTL_DIFFCOMMAND_H
#define HIBISCUS_CTL_DIFFCOMMAND_H

#include "ctl/commandresult.h"
#include "ctl/configurationfiles.h"
#include "platform/objectstore.h"

namespace Hibiscus
{

/** Shows the changes that applying the files would make. */
class DiffCommand
{
public:
    /** Compares with the configuration that the platform holds. */
    static CommandResult runAgainstPlatform(ObjectStore &store, const ConfigurationFiles &files);
    /** Compares with other files. */
    static CommandResult runAgainstFiles(const ConfigurationFiles &before, const ConfigurationFiles &after);
};

} // namespace Hibiscus

#endif
