#include "soak/soakrun.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>

using namespace Hibiscus;

namespace
{

/** Reads the number at the start of each line; lines that start otherwise are comments. */
std::vector<std::uint64_t> readSeeds(const std::string &path)
{
    std::vector<std::uint64_t> seeds;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::uint64_t seed = 0;
        if (std::istringstream(line) >> seed) {
            seeds.push_back(seed);
        }
    }
    return seeds;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"soak: runs a deployment as separate processes, injects faults and checks its guarantees"};
    std::uint64_t firstSeed = 1;
    int count = 1;
    double seconds = 20;
    std::string seedsFile;
    std::string example = "examples/kitami";
    std::string folder = std::filesystem::temp_directory_path() / "hibiscus-soak";
    int basePort = 24000;
    app.add_option("--seed", firstSeed, "Seed of the first run");
    app.add_option("--runs", count, "Number of runs, with consecutive seeds")->check(CLI::Range(0, 10000));
    app.add_option("--seeds", seedsFile, "File with further seeds, one a line")->check(CLI::ExistingFile);
    app.add_option("--seconds", seconds, "Duration of the load with faults in each run")
        ->check(CLI::Range(1.0, 3600.0));
    app.add_option("--example", example, "Folder of the deployment")->check(CLI::ExistingDirectory);
    app.add_option("--folder", folder, "Folder for settings and logs; those of failed runs are kept");
    app.add_option("--base-port", basePort, "First port")->check(CLI::Range(1025, 60000));
    CLI11_PARSE(app, argc, argv);

    std::vector<std::uint64_t> seeds = seedsFile.empty() ? std::vector<std::uint64_t>{} : readSeeds(seedsFile);
    for (int i = 0; i < count; ++i) {
        seeds.push_back(firstSeed + static_cast<std::uint64_t>(i));
    }
    const std::string programs = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    int failures = 0;
    for (const std::uint64_t seed : seeds) {
        const std::string runFolder = folder + "/" + std::to_string(basePort) + "-" + std::to_string(seed);
        std::filesystem::remove_all(runFolder);
        SoakRun run({programs, example, runFolder, basePort}, seed, Millis{seconds * 1000});
        const std::vector<std::string> violations = run.run();
        std::cout << (violations.empty() ? "PASS" : "FAIL") << " seed " << seed << std::endl;
        for (const std::string &text : violations) {
            std::cout << "  " << text << '\n';
        }
        if (violations.empty()) {
            std::filesystem::remove_all(runFolder);
        } else {
            ++failures;
            std::cout << "  logs in " << runFolder << std::endl;
        }
    }
    return failures == 0 ? 0 : 1;
}
