#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "decision/member.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace bluebell::dispatch {

/// Who speaks for a data centre in a fleet that is too large for every router to tell all others.
///
/// One router of each data centre, its delegate, watches the store for the others and adds up their reports.
/// Each router reports to its delegate alone, and the delegate answers with the sum over the fleet. Every
/// router computes the delegates from its own member table; a delegate that does not answer is passed over.
/// Thread safety: used by one thread.
class delegation {
public:
    /// Up to this many members, self included, every router tells all others itself.
    static constexpr std::size_t max_direct_members = 16;
    /// A delegate that has not answered a report for this long is passed over.
    static constexpr base::duration answer_timeout = std::chrono::milliseconds(800);
    static constexpr base::duration exclusion_time = std::chrono::seconds(5);
    /// A router that has not reported for this long is not answered any more.
    static constexpr base::duration reporter_timeout = std::chrono::seconds(1);

    delegation(base::vm_id self, base::data_centre_id here, double processor)
        : self_(std::move(self)), data_centre_(std::move(here)), cpu_cores_(processor) {}

    /// Takes the member table and chooses anew.
    void update(const std::vector<decision::member_info>& members, base::time_point now);

    /// The fleet is too large for direct reports.
    [[nodiscard]] bool needed() const { return needed_; }
    /// This router speaks for its data centre.
    [[nodiscard]] bool is_delegate() const { return needed_ && delegate_ == self_; }
    [[nodiscard]] const base::vm_id& delegate() const { return delegate_; }
    /// Delegates of the other data centres.
    [[nodiscard]] const std::set<base::vm_id>& other_delegates() const { return other_delegates_; }

    /// A report with this number was sent to the delegate.
    void record_sent_report(std::uint64_t sequence, base::time_point now);
    /// The delegate `from` answered the report with this number. Returns when that was sent; empty if it is
    /// not known, or if another router is the delegate.
    [[nodiscard]] std::optional<base::time_point> record_answer(const base::vm_id& from, std::uint64_t sequence);

    /// A router reported to this one. Returns true if it did not before.
    bool record_reporter(const base::vm_id& from, std::uint64_t sequence, base::time_point now);
    /// Routers that report to this one, with the number of their last report.
    [[nodiscard]] std::vector<std::pair<base::vm_id, std::uint64_t>> reporters(base::time_point now);

private:
    struct reporter {
        std::uint64_t sequence = 0;
        base::time_point received_at;
    };
    struct sent_report {
        std::uint64_t sequence = 0;
        base::time_point sent_at;
    };
    [[nodiscard]] bool excluded(const base::vm_id& vm, base::time_point now) const;

    const base::vm_id self_;
    const base::data_centre_id data_centre_;
    const double cpu_cores_;
    bool needed_ = false;
    base::vm_id delegate_;
    std::set<base::vm_id> other_delegates_;
    /// Reports to the delegate that may still be answered, oldest first.
    std::deque<sent_report> unanswered_;
    std::map<base::vm_id, base::time_point> excluded_until_;
    std::map<base::vm_id, reporter> reporters_;
};

} // namespace bluebell::dispatch
