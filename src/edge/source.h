#pragma once

#include "base/id.h"

#include <cstdint>
#include <mutex>
#include <random>

namespace bluebell::edge {

/// Generates request ids.
/// Thread safety: implementations may be called from any thread.
class id_source {
public:
    id_source() = default;
    id_source(const id_source&) = delete;
    id_source& operator=(const id_source&) = delete;
    id_source(id_source&&) = delete;
    id_source& operator=(id_source&&) = delete;
    virtual ~id_source() = default;

    /// Returns a new id.
    virtual base::request_id next() = 0;
};

/// Generates random ids, which are unique across routers if each router has its own seed.
class random_source final : public id_source {
public:
    /// `high` and `low` are the two words of the seed: random numbers of the system in a daemon, fixed in
    /// tests. Two words are used because ids must not collide across restarts, and a collision of 64-bit
    /// seeds would repeat a whole sequence.
    random_source(std::uint64_t high, std::uint64_t low) : high_(high), low_(low) {}

    base::request_id next() override {
        const std::lock_guard<std::mutex> lock(mutex_);
        return base::request_id(base::uint128{high_(), low_()});
    }

private:
    std::mutex mutex_;
    std::mt19937_64 high_;
    std::mt19937_64 low_;
};

} // namespace bluebell::edge
