#pragma once

#include "base/error.h"
#include "base/ring.h"
#include "base/worker.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bluebell::base {

/// State of a node of the supervisor tree.
enum class child_state { stopped, running, failed };
std::string_view to_string(child_state state);

/// Snapshot of one node of the supervisor tree, for the state dump.
struct child_report {
    std::string name;
    child_state state = child_state::stopped;
    std::uint64_t restarts = 0;
    std::vector<child_report> children;
};

/// Reports the failure of a child to its supervisor.
using failure_handler = std::function<void(const error&)>;

/// A node of the supervisor tree: a thread with one duty, or a subtree.
/// Thread safety: `start` and `stop` are called by the parent's thread only; `report` by any thread.
class child {
public:
    child() = default;
    child(const child&) = delete;
    child& operator=(const child&) = delete;
    child(child&&) = delete;
    child& operator=(child&&) = delete;
    virtual ~child() = default;

    [[nodiscard]] virtual std::string name() const = 0;
    /// Starts the child. `on_failure` is called at most once per start.
    /// Pre-condition: not started before, or stopped since the last start.
    virtual void start(failure_handler on_failure) = 0;
    /// Stops the child and all its descendants; returns when they have ended.
    virtual void stop() = 0;
    [[nodiscard]] virtual child_report report() const = 0;
};

/// Runs one worker on its own thread and reports its exceptions as failures.
class worker_child final : public child {
public:
    explicit worker_child(std::unique_ptr<worker> new_worker);
    worker_child(const worker_child&) = delete;
    worker_child& operator=(const worker_child&) = delete;
    worker_child(worker_child&&) = delete;
    worker_child& operator=(worker_child&&) = delete;
    ~worker_child() override;

    [[nodiscard]] std::string name() const override { return worker_->name(); }
    void start(failure_handler on_failure) override;
    void stop() override;
    [[nodiscard]] child_report report() const override;

private:
    void run(const failure_handler& on_failure);

    std::unique_ptr<worker> worker_;
    stop_signal stop_;
    std::thread thread_;
    std::atomic<child_state> state_{child_state::stopped};
    std::atomic<std::uint64_t> start_count_{0};
};

/// Which children a supervisor restarts when one fails.
enum class restart_strategy {
    one_for_one,  ///< restarts the failed child alone
    rest_for_one, ///< restarts the failed child and those started after it
};

/// Rate of restarts above which a failure is escalated to the parent.
struct restart_limit {
    std::uint32_t intensity = 5; ///< maximum number of restarts within `period`
    duration period = std::chrono::seconds(10);
};

/// Starts children in order, stops them in reverse order and restarts those that fail.
class supervisor final : public child {
public:
    supervisor(std::string name, restart_strategy strategy, restart_limit limit, const clock& time_source);
    supervisor(const supervisor&) = delete;
    supervisor& operator=(const supervisor&) = delete;
    supervisor(supervisor&&) = delete;
    supervisor& operator=(supervisor&&) = delete;
    ~supervisor() override;

    /// Adds a child; children are started in the order in which they are added.
    /// Pre-condition: not started.
    void add(std::unique_ptr<child> new_child);
    void add(std::unique_ptr<worker> new_worker);

    [[nodiscard]] std::string name() const override { return name_; }
    void start(failure_handler on_failure) override;
    void stop() override;
    [[nodiscard]] child_report report() const override;

private:
    /// A failure of the child at `index`; `generation` identifies the start of the child that failed.
    struct child_failure {
        std::size_t index = 0;
        std::uint64_t generation = 0;
        error cause;
    };

    void supervise(const failure_handler& on_failure);
    void start_child(std::size_t index);
    void restart_from(std::size_t index);
    /// Records a restart unless it would exceed the limit; returns false if it would.
    bool try_record_restart(time_point now);

    const std::string name_;
    const restart_strategy strategy_;
    const restart_limit limit_;
    const clock& clock_;
    std::vector<std::unique_ptr<child>> children_;
    std::vector<std::uint64_t> generations_;
    ring<child_failure> failures_;
    std::deque<time_point> restart_times_;
    std::thread thread_;
    std::atomic<child_state> state_{child_state::stopped};
    std::atomic<std::uint64_t> restart_count_{0};
};

} // namespace bluebell::base
