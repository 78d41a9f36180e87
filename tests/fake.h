#pragma once

#include "base/clock.h"
#include "store/store.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace bluebell::test {

/// Faults that a fake store injects: a permanent outage, and probabilities for each call.
struct store_faults {
    /// Every call fails with `store_unavailable`.
    bool outage = false;
    /// The call fails with `store_unavailable`.
    double unavailable = 0;
    /// The answer is lost and the call has no effect.
    double lost_before = 0;
    /// The answer is lost after the call took effect.
    double lost_after = 0;
    /// The answer is lost and the write is held back until the test carries it out.
    double delayed = 0;
};

/// In-memory object store with versions and conditional updates. Every write gets a version that no object
/// had before. Lost answers and delays apply to `update` only.
/// Thread safety: used by one thread.
class fake_store final : public store::object_store {
public:
    explicit fake_store(std::uint64_t seed = 1) : random_(seed) {}

    store_faults faults;
    /// Called before each call takes effect; may advance a clock or use the store itself.
    std::function<void()> before_call;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t bytes_written = 0;

    base::result<store::stored_object> read(const base::object_name& name) override {
        ++reads;
        if (fails()) {
            return unavailable(name);
        }
        const auto found = objects_.find(name);
        if (found == objects_.end()) {
            return base::failure(base::error_code::store_not_found, name.value(), "no such object");
        }
        return found->second;
    }

    base::result<base::object_version> update(const base::object_name& name, const std::string& value,
                                              base::object_version expected) override {
        ++writes;
        bytes_written += value.size();
        if (fails()) {
            return unavailable(name);
        }
        if (chance(faults.lost_before)) {
            return lost(name);
        }
        if (chance(faults.delayed)) {
            delayed_.push_back({name, value, expected});
            return lost(name);
        }
        const base::result<base::object_version> written = put(name, value, expected);
        return chance(faults.lost_after) ? lost(name) : written;
    }

    base::result<store::stored_object> watch(const base::object_name& name, base::object_version known,
                                             base::duration timeout) override {
        static_cast<void>(known);
        static_cast<void>(timeout);
        return read(name);
    }

    base::result<void> remove(const base::object_name& name, base::object_version expected) override {
        ++writes;
        if (fails()) {
            return unavailable(name);
        }
        const auto found = objects_.find(name);
        if (found == objects_.end()) {
            return base::failure(base::error_code::store_not_found, name.value(), "no such object");
        }
        if (found->second.version != expected) {
            return conflict(name);
        }
        objects_.erase(found);
        return {};
    }

    base::result<std::vector<base::object_name>> list(const std::string& prefix) override {
        ++reads;
        if (fails()) {
            return unavailable(base::object_name(prefix));
        }
        std::vector<base::object_name> names;
        for (const auto& [name, object] : objects_) {
            if (name.value().compare(0, prefix.size(), prefix) == 0) {
                names.push_back(name);
            }
        }
        return names;
    }

    /// Carries out the oldest delayed write if the object still has the expected version.
    void apply_delayed_write() {
        if (!delayed_.empty()) {
            const delayed_write write = std::move(delayed_.front());
            delayed_.pop_front();
            static_cast<void>(put(write.name, write.value, write.expected));
        }
    }

    /// Replaces an object without a check of its version.
    void overwrite(const base::object_name& name, std::string value) {
        objects_[name] = {std::move(value), base::object_version(++last_version_)};
    }

    [[nodiscard]] std::size_t size() const { return objects_.size(); }

private:
    struct delayed_write {
        base::object_name name;
        std::string value;
        base::object_version expected;
    };

    bool chance(double probability) {
        return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    /// Calls `before_call` and decides whether the call fails.
    bool fails() {
        if (before_call) {
            before_call();
        }
        return faults.outage || chance(faults.unavailable);
    }
    base::result<base::object_version> put(const base::object_name& name, const std::string& value,
                                           base::object_version expected) {
        const auto found = objects_.find(name);
        const base::object_version present =
            found == objects_.end() ? base::object_version() : found->second.version;
        if (present != expected) {
            return conflict(name);
        }
        overwrite(name, value);
        return base::object_version(last_version_);
    }
    static tl::unexpected<base::error> unavailable(const base::object_name& name) {
        return base::failure(base::error_code::store_unavailable, name.value(), "injected outage");
    }
    static tl::unexpected<base::error> lost(const base::object_name& name) {
        return base::failure(base::error_code::store_answer_lost, name.value(), "injected loss");
    }
    static tl::unexpected<base::error> conflict(const base::object_name& name) {
        return base::failure(base::error_code::store_conflict, name.value(), "version differs");
    }

    std::mt19937_64 random_;
    std::map<base::object_name, store::stored_object> objects_;
    std::deque<delayed_write> delayed_;
    std::uint64_t last_version_ = 0;
};

} // namespace bluebell::test
