#pragma once

#include "base/clock.h"

#include <optional>

namespace bluebell::relay {

/// Whether an event loop has more to do than the processor allows, from how long it has not caught up with
/// what is ready.
/// Thread safety: used by one thread.
class saturation {
public:
    /// A loop that is behind for longer than this refuses new work.
    static constexpr base::duration tolerated = std::chrono::milliseconds(150);
    /// The same for requests that cost little, such as those to plain services.
    static constexpr base::duration tolerated_cheap = std::chrono::milliseconds(600);
    /// After it has refused work, it asks for no new connections for this long: the balancer asks each
    /// second, and acts on the second answer.
    static constexpr base::duration recovery = std::chrono::seconds(3);

    /// To be called after each wait; `behind` if more may be ready than was handled.
    void note(bool behind, base::time_point now);
    /// New requests are to be refused; `cheap` ones later than others.
    [[nodiscard]] bool refusing(bool cheap) const { return behind_ > (cheap ? tolerated_cheap : tolerated); }
    /// New connections should go elsewhere.
    [[nodiscard]] bool avoid(base::time_point now) const { return now < avoid_until_; }

private:
    std::optional<base::time_point> behind_since_;
    base::time_point avoid_until_;
    /// How long the loop has been behind at the last call of `note`.
    base::duration behind_{};
};

} // namespace bluebell::relay
