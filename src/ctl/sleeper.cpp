#include "ctl/sleeper.h"

#include <chrono>
#include <thread>

namespace Hibiscus
{

void ThreadSleeper::sleep(Millis duration)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(duration.value));
}

} // namespace Hibiscus
