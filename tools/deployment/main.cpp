#include "deploymentplan.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>

namespace
{

std::string readFile(const std::string &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"deployment_settings: writes the settings files of a deployment on loopback addresses"};
    std::string inventoryFile;
    std::string folder;
    std::string platform = "127.0.0.1:7000";
    int basePort = 20000;
    app.add_option("inventory", inventoryFile, "Inventory file")->required()->check(CLI::ExistingFile);
    app.add_option("folder", folder, "Folder for the settings files and the table of hosts")->required();
    app.add_option("--platform", platform, "Address of the platform's object API");
    app.add_option("--base-port", basePort, "First port")->check(CLI::Range(1024, 60000));
    CLI11_PARSE(app, argc, argv);

    const auto inventory = Hibiscus::parseInventory(readFile(inventoryFile), inventoryFile);
    if (!inventory) {
        std::cerr << Hibiscus::formatConfigErrors(inventory.error()) << '\n';
        return 2;
    }
    const Hibiscus::DeploymentPlan plan(*inventory, basePort);
    std::filesystem::create_directories(folder);
    for (const Hibiscus::PlannedHost &host : plan.hosts()) {
        std::ofstream(folder + "/" + host.server.name.value() + ".json")
            << plan.settingsFor(host, Hibiscus::HostAddress(platform));
    }
    std::ofstream(folder + "/hosts.txt") << plan.table();
    return 0;
}
