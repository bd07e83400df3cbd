#include "ctl/pause.h"

#include <chrono>
#include <thread>

namespace Hibiscus
{

void SleepingPause::wait(Millis duration)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(duration.value));
}

} // namespace Hibiscus
