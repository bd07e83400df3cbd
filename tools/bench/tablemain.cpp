#include "bench/tablebench.h"

#include <iostream>

#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    std::size_t count = 50'000;
    CLI::App app{"table_bench: heap bytes and processor time per entry of a daemon's tables"};
    app.add_option("--count", count, "Entries in each table")->check(CLI::Range(1000, 1'000'000));
    CLI11_PARSE(app, argc, argv);
    Hibiscus::TableBench(count, std::cout).run();
    return 0;
}
