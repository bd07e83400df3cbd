#ifndef HIBISCUS_CORE_LOGOUTPUT_H
#define HIBISCUS_CORE_LOGOUTPUT_H

#include <string>

namespace Hibiscus
{

/**
 * Initializes the log of this process. Each event is one line of JSON on standard output, or in files below
 * @p directory if it is not empty. A line that standard output can't accept without blocking is dropped and counted in
 * the next line.
 */
void startLogging(const char *program, const std::string &directory);

} // namespace Hibiscus

#endif
