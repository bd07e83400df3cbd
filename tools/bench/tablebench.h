#ifndef HIBISCUS_BENCH_TABLEBENCH_H
#define HIBISCUS_BENCH_TABLEBENCH_H

#include <cstddef>
#include <ostream>
#include <string>

namespace Hibiscus
{

/** Heap bytes and processor time per entry of the tables of a daemon. */
class TableBench
{
public:
    /** @p count entries are put in each table. */
    TableBench(std::size_t count, std::ostream &out);

    void run();

private:
    void arbiter(std::size_t answerBytes);
    void attempts(bool keepAnswer, std::size_t answerBytes);
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
