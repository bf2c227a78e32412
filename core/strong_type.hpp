#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace peridotspar
{

/// A value of type `Rep` that can be compared only with values of the same
/// `Tag`, so that values with different meanings are not confused.
template <class Tag, class Rep>
class strong_type
{
public:
    using rep = Rep;

    constexpr strong_type() = default;
    constexpr explicit strong_type(Rep p_value) : value_(std::move(p_value)) {}

    [[nodiscard]] constexpr const Rep& value() const noexcept { return value_; }

    // NOLINTBEGIN(modernize-use-nullptr): false positive of the linter.
    friend constexpr auto operator<=>(const strong_type&,
                                      const strong_type&) = default;
    // NOLINTEND(modernize-use-nullptr)
    friend constexpr bool operator==(const strong_type&,
                                     const strong_type&) = default;

private:
    Rep value_{};
};

} // namespace peridotspar

/// Hashes like the value of type `Rep`.
template <class Tag, class Rep>
struct std::hash<peridotspar::strong_type<Tag, Rep>>
{
    std::size_t
    operator()(const peridotspar::strong_type<Tag, Rep>& p_value) const noexcept
    {
        return std::hash<Rep>{}(p_value.value());
    }
};
