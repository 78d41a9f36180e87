#pragma once

#include <cstdint>
#include <functional>
#include <ostream>

namespace bluebell::base {

/// Number with a unit that the compiler checks; values of different units do not convert to each other.
/// Thread safety: a value type, as for built-in numbers.
template <typename Tag, typename Rep>
class quantity {
public:
    using rep = Rep;

    constexpr quantity() = default;
    constexpr explicit quantity(Rep value) : value_(value) {}

    /// Returns the number in the unit that the alias of the type states.
    [[nodiscard]] constexpr Rep value() const { return value_; }

    constexpr quantity& operator+=(quantity other) {
        value_ += other.value_;
        return *this;
    }
    constexpr quantity& operator-=(quantity other) {
        value_ -= other.value_;
        return *this;
    }

    friend constexpr quantity operator+(quantity a, quantity b) { return quantity(a.value_ + b.value_); }
    friend constexpr quantity operator-(quantity a, quantity b) { return quantity(a.value_ - b.value_); }
    friend constexpr quantity operator*(quantity a, Rep factor) { return quantity(a.value_ * factor); }
    friend constexpr bool operator==(quantity a, quantity b) { return a.value_ == b.value_; }
    friend constexpr bool operator!=(quantity a, quantity b) { return a.value_ != b.value_; }
    friend constexpr bool operator<(quantity a, quantity b) { return a.value_ < b.value_; }
    friend constexpr bool operator>(quantity a, quantity b) { return a.value_ > b.value_; }
    friend constexpr bool operator<=(quantity a, quantity b) { return a.value_ <= b.value_; }
    friend constexpr bool operator>=(quantity a, quantity b) { return a.value_ >= b.value_; }
    friend std::ostream& operator<<(std::ostream& out, quantity q) { return out << q.value_; }

private:
    Rep value_{};
};

/// Service received: tokens for models, milliseconds of execution for plain services.
using cost = quantity<struct cost_tag, double>;
/// Service divided by the weight of a client account.
using normalised_cost = quantity<struct normalised_cost_tag, double>;
/// Relative share of a client account; greater than zero.
using weight = quantity<struct weight_tag, double>;
/// Number of requests that an upstream runs at the same time.
using slot_count = quantity<struct slot_count_tag, std::int32_t>;
/// Requests per second.
using request_rate = quantity<struct request_rate_tag, double>;
/// How long work takes at an upstream, in percent of the usual time.
using pace_percent = quantity<struct pace_percent_tag, std::int32_t>;
using byte_count = quantity<struct byte_count_tag, std::uint64_t>;
/// Number of an accepted release; each release increments it by one.
using revision = quantity<struct revision_tag, std::uint64_t>;
/// Number of a change of ownership, ascending; also serves as the fencing token.
using epoch = quantity<struct epoch_tag, std::uint64_t>;
/// Version of an object in the store; zero means that the object does not exist.
using object_version = quantity<struct object_version_tag, std::uint64_t>;
/// Start number of a process; a restarted process has a higher one.
using incarnation = quantity<struct incarnation_tag, std::uint64_t>;
/// Number of an attempt within its request, from 1.
using attempt_number = quantity<struct attempt_number_tag, std::uint32_t>;

constexpr normalised_cost operator/(cost c, weight w) {
    return normalised_cost(c.value() / w.value());
}
constexpr cost operator*(normalised_cost n, weight w) {
    return cost(n.value() * w.value());
}

} // namespace bluebell::base

template <typename Tag, typename Rep>
struct std::hash<bluebell::base::quantity<Tag, Rep>> {
    std::size_t operator()(const bluebell::base::quantity<Tag, Rep>& q) const noexcept {
        return std::hash<Rep>{}(q.value());
    }
};
