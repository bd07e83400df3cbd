#ifndef HIBISCUS_CONFIG_ENTRYDIFFERENCE_H
#define HIBISCUS_CONFIG_ENTRYDIFFERENCE_H

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Hibiscus
{

/** Named values of one entry of a configuration, in the order in which they are printed. */
using EntryFields = std::vector<std::pair<std::string, std::string>>;
/** Entries of one kind by key; all have the same fields. */
using Entries = std::map<std::string, EntryFields>;

/** Appends one line for each entry that was removed ("-"), changed ("~") or added ("+"). */
void compareEntries(const std::string &kind, const Entries &before, const Entries &after,
                    std::vector<std::string> &lines);

/** Appends a line if a single value changed. */
void compareScalar(const std::string &name, const std::string &before, const std::string &after,
                   std::vector<std::string> &lines);

} // namespace Hibiscus

#endif
