#ifndef HIBISCUS_CORE_AUTOTESTS_OPERATIONPROPERTY_H
#define HIBISCUS_CORE_AUTOTESTS_OPERATIONPROPERTY_H

#include <ostream>
#include <string>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace Hibiscus
{

/** Random operation; the system under test interprets the numbers. */
struct Operation {
    unsigned kind;
    unsigned a;
    unsigned b;
    unsigned c;
};

/** Empty RapidCheck model, since the system under test checks its own results. */
struct NoModel {
};

/** Runs one operation of kind 0 to System::kKinds - 1 by System::step(Operation), which also checks its result. */
template<class System>
class OperationCommand : public rc::state::Command<NoModel, System>
{
public:
    OperationCommand()
        : operation_{*rc::gen::inRange(0U, System::kKinds), *rc::gen::inRange(0U, 60U), *rc::gen::inRange(0U, 60U),
                     *rc::gen::inRange(0U, 60U)}
    {
    }

    void run(const NoModel &, System &system) const override
    {
        system.step(operation_);
    }

    void show(std::ostream &os) const override
    {
        os << operation_.kind << '(' << operation_.a << ", " << operation_.b << ", " << operation_.c << ')';
    }

private:
    Operation operation_;
};

/** Checks random sequences of up to @p length operations, each on a new @p System. */
template<class System>
bool checkOperations(const std::string &description, int length)
{
    return rc::check(description, [length] {
        // RapidCheck derives the length from the size, which is at most 100 by default.
        const auto commands = *rc::gen::resize(
            length, rc::state::gen::commands(NoModel(), rc::state::gen::execOneOfWithArgs<OperationCommand<System>>()));
        System system;
        rc::state::runAll(commands, NoModel(), system);
    });
}

} // namespace Hibiscus

#endif
