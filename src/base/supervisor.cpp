#include "base/supervisor.h"

#include "base/log.h"

#include <exception>
#include <utility>

namespace bluebell::base {
namespace {

constexpr std::size_t failure_ring_capacity = 64;
constexpr duration supervise_interval = std::chrono::seconds(1);

} // namespace

std::string_view to_string(child_state state) {
    switch (state) {
    case child_state::stopped:
        return "stopped";
    case child_state::running:
        return "running";
    case child_state::failed:
        return "failed";
    }
    return "unknown";
}

worker_child::worker_child(std::unique_ptr<worker> new_worker) : worker_(std::move(new_worker)) {}

worker_child::~worker_child() {
    stop();
}

void worker_child::start(failure_handler on_failure) {
    stop_.reset();
    state_ = child_state::running;
    ++start_count_;
    thread_ = std::thread([this, handler = std::move(on_failure)] { run(handler); });
}

void worker_child::run(const failure_handler& on_failure) {
    error cause{error_code::worker_failed, worker_->name(), "worker returned before a stop was requested"};
    try {
        worker_->run(stop_);
    } catch (const std::exception& exception) {
        cause.text = exception.what();
    }
    if (stop_.requested()) {
        return;
    }
    state_ = child_state::failed;
    on_failure(cause);
}

void worker_child::stop() {
    if (!thread_.joinable()) {
        return;
    }
    stop_.request();
    worker_->interrupt();
    thread_.join();
    state_ = child_state::stopped;
}

child_report worker_child::report() const {
    const std::uint64_t starts = start_count_;
    return {worker_->name(), state_, starts > 0 ? starts - 1 : 0, {}};
}

supervisor::supervisor(std::string name, restart_strategy strategy, restart_limit limit,
                       const clock& time_source)
    : name_(std::move(name)), strategy_(strategy), limit_(limit), clock_(time_source),
      failures_(failure_ring_capacity) {}

supervisor::~supervisor() {
    stop();
}

void supervisor::add(std::unique_ptr<child> new_child) {
    children_.push_back(std::move(new_child));
    generations_.push_back(0);
}

void supervisor::add(std::unique_ptr<worker> new_worker) {
    add(std::make_unique<worker_child>(std::move(new_worker)));
}

void supervisor::start(failure_handler on_failure) {
    failures_.reopen();
    restart_times_.clear();
    state_ = child_state::running;
    for (std::size_t i = 0; i < children_.size(); ++i) {
        start_child(i);
    }
    thread_ = std::thread([this, handler = std::move(on_failure)] { supervise(handler); });
}

void supervisor::start_child(std::size_t index) {
    const std::uint64_t generation = ++generations_[index];
    children_[index]->start([this, index, generation](const error& cause) {
        failures_.push(child_failure{index, generation, cause}, supervise_interval);
    });
}

void supervisor::supervise(const failure_handler& on_failure) {
    while (!failures_.closed()) {
        const std::optional<child_failure> failed = failures_.pop(supervise_interval);
        // The failure is out of date if the child was restarted in the meantime.
        if (!failed || failed->generation != generations_[failed->index]) {
            continue;
        }
        log_event(log_level::error, name_, "child_failed",
                  {{"child", children_[failed->index]->name()}, {"cause", failed->cause.text}});
        if (!try_record_restart(clock_.now())) {
            state_ = child_state::failed;
            on_failure(error{error_code::restart_intensity_exceeded, name_, failed->cause.text});
            return;
        }
        ++restart_count_;
        restart_from(failed->index);
    }
}

void supervisor::restart_from(std::size_t index) {
    const std::size_t end = strategy_ == restart_strategy::rest_for_one ? children_.size() : index + 1;
    for (std::size_t i = end; i > index; --i) {
        children_[i - 1]->stop();
    }
    for (std::size_t i = index; i < end; ++i) {
        start_child(i);
    }
}

bool supervisor::try_record_restart(time_point now) {
    while (!restart_times_.empty() && now - restart_times_.front() > limit_.period) {
        restart_times_.pop_front();
    }
    if (restart_times_.size() >= limit_.intensity) {
        return false;
    }
    restart_times_.push_back(now);
    return true;
}

void supervisor::stop() {
    if (!thread_.joinable()) {
        return;
    }
    failures_.close();
    thread_.join();
    for (std::size_t i = children_.size(); i > 0; --i) {
        children_[i - 1]->stop();
    }
    state_ = child_state::stopped;
}

child_report supervisor::report() const {
    child_report report{name_, state_, restart_count_, {}};
    for (const std::unique_ptr<child>& node : children_) {
        report.children.push_back(node->report());
    }
    return report;
}

} // namespace bluebell::base
