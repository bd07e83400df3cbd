#include "platform_standin/platformserver.h"

#include <csignal>
#include <iostream>

#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    std::string address = "127.0.0.1:0";
    Hibiscus::PlatformServerSettings settings;
    CLI::App app("Stand-in for the platform's object API");
    app.add_option("--listen", address, "IP address and port; port 0 lets the system choose one");
    app.add_option("--threads", settings.threads, "Worker threads; each waiting watch occupies one");
    CLI11_PARSE(app, argc, argv);

    // The signals are blocked before any thread starts, so that only sigwait() below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    settings.address = Hibiscus::HostAddress(address);
    Hibiscus::PlatformServer server(settings);
    const auto bound = server.open();
    if (!bound) {
        std::cerr << bound.error() << '\n';
        return 1;
    }
    std::cout << "listening on " << bound->value() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    server.close();
    return 0;
}
