#ifndef HIBISCUS_CTL_ROUTECHECKCOMMAND_H
#define HIBISCUS_CTL_ROUTECHECKCOMMAND_H

#include "ctl/commandresult.h"
#include "mesh/configurationdecoder.h"

#include <optional>
#include <string>

namespace Hibiscus
{

/** Text of a configuration and the name under which messages call it. */
struct NamedText {
    std::string name;
    std::string text;
};

/** Checks a route configuration before it is sent: errors, findings, and what it changes. */
class RouteCheckCommand
{
public:
    /** @p decoder reads the format in which the operator sends configurations; it must outlive the command. */
    explicit RouteCheckCommand(const ConfigurationDecoder &decoder);

    /**
     * Checks @p candidate, and compares it with @p inForce if there is one. Exit codes: Invalid if the candidate can't
     * be read or has findings, Unavailable if @p inForce can't be read, otherwise Success.
     */
    CommandResult run(const NamedText &candidate, const std::optional<NamedText> &inForce) const;

private:
    const ConfigurationDecoder &decoder_;
};

} // namespace Hibiscus

#endif
