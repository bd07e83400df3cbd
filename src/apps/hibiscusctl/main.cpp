#include "commandline.h"

#include <csignal>
#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    // Writing to a connection that a daemon has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return Hibiscus::CommandLine().run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "internal error: " << error.what() << '\n';
        return static_cast<int>(Hibiscus::ExitCode::Unknown);
    }
}
