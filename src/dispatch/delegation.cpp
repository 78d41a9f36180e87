#include "dispatch/delegation.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>

namespace bluebell::dispatch {
namespace {

/// Unanswered reports that are remembered; at the shortest report interval these cover three seconds.
constexpr std::size_t max_unanswered_reports = 128;

/// Ranks routers by processor time, and equal ones by a hash: arbitrary, but the same at every router.
std::tuple<double, std::uint64_t> rank(const base::vm_id& vm, double processor,
                                       const base::data_centre_id& place) {
    return {processor, base::stable_hash(vm.value(), base::stable_hash(place.value()))};
}

} // namespace

void delegation::update(const std::vector<decision::member_info>& members, base::time_point now) {
    if (!unanswered_.empty() && now - unanswered_.front().sent_at > answer_timeout) {
        excluded_until_[delegate_] = now + exclusion_time;
        unanswered_.clear();
    }
    std::size_t live = 0;
    std::map<base::data_centre_id, std::pair<std::tuple<double, std::uint64_t>, base::vm_id>> best;
    for (const decision::member_info& member : members) {
        const bool self = member.vm == self_;
        const bool candidate = member.state != decision::liveness::dead;
        live += candidate ? 1 : 0;
        const base::data_centre_id& data_centre = self ? data_centre_ : member.data_centre;
        if (!candidate || member.leaving || data_centre.value().empty() ||
            (!self && excluded(member.vm, now))) {
            continue;
        }
        const std::tuple<double, std::uint64_t> member_rank =
            rank(member.vm, self ? cpu_cores_ : member.cpu_cores, data_centre);
        const auto [found, added] = best.try_emplace(data_centre, member_rank, member.vm);
        if (!added && found->second.first < member_rank) {
            found->second = {member_rank, member.vm};
        }
    }
    needed_ = live > max_direct_members;
    const auto own = best.find(data_centre_);
    const base::vm_id chosen = own == best.end() ? self_ : own->second.second;
    if (chosen != delegate_) {
        delegate_ = chosen;
        unanswered_.clear();
    }
    other_delegates_.clear();
    for (const auto& [data_centre, ranked] : best) {
        if (data_centre != data_centre_) {
            other_delegates_.insert(ranked.second);
        }
    }
}

bool delegation::excluded(const base::vm_id& vm, base::time_point now) const {
    const auto found = excluded_until_.find(vm);
    return found != excluded_until_.end() && now < found->second;
}

void delegation::record_sent_report(std::uint64_t sequence, base::time_point now) {
    unanswered_.push_back({sequence, now});
    if (unanswered_.size() > max_unanswered_reports) {
        unanswered_.pop_front();
    }
}

std::optional<base::time_point> delegation::record_answer(const base::vm_id& from, std::uint64_t sequence) {
    const auto found = std::find_if(unanswered_.begin(), unanswered_.end(),
                                    [&](const sent_report& report) { return report.sequence == sequence; });
    if (from != delegate_ || found == unanswered_.end()) {
        return std::nullopt;
    }
    const base::time_point sent_at = found->sent_at;
    unanswered_.erase(unanswered_.begin(), found + 1);
    return sent_at;
}

bool delegation::record_reporter(const base::vm_id& from, std::uint64_t sequence, base::time_point now) {
    const auto [found, added] = reporters_.insert_or_assign(from, reporter{sequence, now});
    return added;
}

std::vector<std::pair<base::vm_id, std::uint64_t>> delegation::reporters(base::time_point now) {
    std::vector<std::pair<base::vm_id, std::uint64_t>> current;
    for (auto entry = reporters_.begin(); entry != reporters_.end();) {
        if (now - entry->second.received_at > reporter_timeout) {
            entry = reporters_.erase(entry);
            continue;
        }
        current.emplace_back(entry->first, entry->second.sequence);
        ++entry;
    }
    return current;
}

} // namespace bluebell::dispatch
