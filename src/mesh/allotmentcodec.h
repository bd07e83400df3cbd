#ifndef HIBISCUS_MESH_ALLOTMENTCODEC_H
#define HIBISCUS_MESH_ALLOTMENTCODEC_H

#include "teams/allotmentmessage.h"
#include "teams/lenderplan.h"

#include <optional>
#include <string>
#include <string_view>

namespace Hibiscus
{

/** Report as it is sent to the lender of a partition. */
struct AllotmentRequest {
    Partition partition;
    AllotmentReport report;
};

/** JSON text of a report; docs/interface.md describes its fields. */
std::string serializeAllotmentRequest(const AllotmentRequest &request);
/** Parses the text of a report; empty if a field is missing, has another type or is out of range. */
std::optional<AllotmentRequest> parseAllotmentRequest(std::string_view text);

/** JSON text of an answer. */
std::string serializeAllotmentAnswer(const AllotmentAnswer &answer);
/** Parses the text of an answer; empty if a field is missing, has another type or is out of range. */
std::optional<AllotmentAnswer> parseAllotmentAnswer(std::string_view text);

} // namespace Hibiscus

#endif
