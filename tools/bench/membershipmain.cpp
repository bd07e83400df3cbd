#include "bench/membershipscenarios.h"

#include <iostream>

#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    Hibiscus::ScenarioSettings settings;
    std::vector<std::string> scenarios;
    CLI::App app{"membership_bench: control traffic and processor time of daemons on a simulated clock"};
    app.add_option("--domains", settings.size.domains, "Failure domains")->check(CLI::Range(1, 26));
    app.add_option("--per-domain", settings.size.serversPerDomain, "Servers per failure domain")
        ->check(CLI::Range(1, 1000));
    app.add_option("--services", settings.size.services, "Services")->check(CLI::Range(1, 80));
    app.add_option("--routes", settings.size.routesPerService, "Routes per service");
    app.add_option("--audit", settings.size.auditEntries, "Audit entries in the configuration");
    app.add_option("--request-overhead", settings.overhead.request, "Header bytes per request, HTTP to IP");
    app.add_option("--response-overhead", settings.overhead.response, "Header bytes per response, HTTP to IP");
    app.add_option("--seconds", settings.seconds, "Length of a measured window");
    app.add_option("--outage-seconds", settings.outageSeconds, "Length of an outage");
    app.add_option("--seed", settings.seed, "Seed of the random numbers");
    app.add_option("--scenario", scenarios, "Scenario to run; all if there is none")
        ->check(CLI::IsMember(Hibiscus::MembershipScenarios::names()));
    CLI11_PARSE(app, argc, argv);

    std::cout << "membership_bench domains " << settings.size.domains << " per domain "
              << settings.size.serversPerDomain << " services " << settings.size.services << " seed " << settings.seed
              << " overhead " << settings.overhead.request << '/' << settings.overhead.response << " B\n";
    Hibiscus::MembershipScenarios bench(settings, std::cout);
    for (const std::string &name : scenarios.empty() ? Hibiscus::MembershipScenarios::names() : scenarios) {
        bench.run(name);
        std::cout.flush();
    }
    return 0;
}
