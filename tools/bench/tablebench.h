#ifndef HIBISCUS_BENCH_TABLEBENCH_H
#define HIBISCUS_BENCH_TABLEBENCH_H

#include <cstddef>
#include <ostream>
#include <string>

namespace Hibiscus
{

/** Measures heap bytes and processor time per entry of a daemon's tables. */
class TableBench
{
public:
    /** Each table gets @p count entries. Results are printed to @p out. */
    TableBench(std::size_t count, std::ostream &out);

    void run();

private:
    void arbiter(std::size_t responseBytes);
    void attempts(bool keepsResponse, std::size_t responseBytes);
    void crashReports();
    void admissionQueue();
    void routes(std::size_t servers);
    void configuration();

    void print(const std::string &what, double bytes, double micros) const;

    std::size_t count_;
    std::ostream &out_;
};

} // namespace Hibiscus

#endif
