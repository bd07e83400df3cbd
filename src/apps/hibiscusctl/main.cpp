#include "commandline.h"

#include <csignal>
#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    // A daemon that closes its connection early must not end the tool.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return Hibiscus::CommandLine().run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "internal error: " << error.what() << '\n';
        return static_cast<int>(Hibiscus::ExitCode::Unknown);
    }
}
