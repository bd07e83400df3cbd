#ifndef HIBISCUS_CORE_STRONGID_H
#define HIBISCUS_CORE_STRONGID_H

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace Hibiscus
{

/** Identifier of type @p Value that can't be confused with another identifier of the same representation. */
template<class Tag, class Value>
class StrongId
{
public:
    StrongId() = default;

    explicit StrongId(Value value)
        : value_(std::move(value))
    {
    }

    const Value &value() const
    {
        return value_;
    }

    friend auto operator<=>(const StrongId &, const StrongId &) = default;

private:
    Value value_{};
};

} // namespace Hibiscus

template<class Tag, class Value>
struct std::hash<Hibiscus::StrongId<Tag, Value>> {
    std::size_t operator()(const Hibiscus::StrongId<Tag, Value> &id) const noexcept
    {
        return std::hash<Value>()(id.value());
    }
};

#endif
