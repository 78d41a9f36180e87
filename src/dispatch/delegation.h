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

/// Choice of the delegates in a fleet that is too large for every router to report to all others.
///
/// One router of each data centre, its delegate, watches the store for the others and aggregates their
/// reports. Each router reports to its delegate alone, and the delegate answers with the sum over the fleet.
/// Every router computes the delegates from its own member table; a delegate that does not answer is excluded
/// for a while.
/// Thread safety: used by one thread.
class delegation {
public:
    /// Up to this many live members, self included, every router reports to all others directly.
    static constexpr std::size_t max_direct_members = 16;
    /// A delegate that has not answered a report within this time is excluded.
    static constexpr base::duration answer_timeout = std::chrono::milliseconds(800);
    /// How long this router does not choose an excluded delegate.
    static constexpr base::duration exclusion_time = std::chrono::seconds(5);
    /// A router that has not reported for longer than this is not answered any more.
    static constexpr base::duration reporter_timeout = std::chrono::seconds(1);

    /// `cpu_cores` is the processor time of this router, which ranks the candidates.
    delegation(base::vm_id self, base::data_centre_id data_centre, double cpu_cores)
        : self_(std::move(self)), data_centre_(std::move(data_centre)), cpu_cores_(cpu_cores) {}

    /// Takes the member table and chooses the delegates anew.
    void update(const std::vector<decision::member_info>& members, base::time_point now);

    /// Returns true if the fleet is too large for direct reports.
    [[nodiscard]] bool needed() const { return needed_; }
    /// Returns true if this router is the delegate of its data centre and delegates are needed.
    [[nodiscard]] bool is_delegate() const { return needed_ && delegate_ == self_; }
    /// Delegate of this router's data centre.
    [[nodiscard]] const base::vm_id& delegate() const { return delegate_; }
    /// Delegates of the other data centres.
    [[nodiscard]] const std::set<base::vm_id>& other_delegates() const { return other_delegates_; }

    /// Records that the report with this sequence number was sent to the delegate.
    void record_sent_report(std::uint64_t sequence, base::time_point now);
    /// Records that `from` answered the report with this sequence number. Returns when that report was sent;
    /// empty if no such report awaits an answer, or if `from` is not the delegate.
    [[nodiscard]] std::optional<base::time_point> record_answer(const base::vm_id& from,
                                                                std::uint64_t sequence);

    /// Records a report that `from` sent to this router. Returns true if `from` was not among the reporters.
    bool record_reporter(const base::vm_id& from, std::uint64_t sequence, base::time_point now);
    /// Routers that report to this one, with the sequence number of their last report. Forgets those that
    /// have fallen silent.
    [[nodiscard]] std::vector<std::pair<base::vm_id, std::uint64_t>> reporters(base::time_point now);
    /// Number of routers that report to this one, those included that have just fallen silent.
    [[nodiscard]] std::size_t reporter_count() const { return reporters_.size(); }

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
    /// Delegates that did not answer, and until when they are excluded.
    std::map<base::vm_id, base::time_point> excluded_until_;
    std::map<base::vm_id, reporter> reporters_;
};

} // namespace bluebell::dispatch
