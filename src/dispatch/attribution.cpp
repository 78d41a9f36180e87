#include "dispatch/attribution.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace bluebell::dispatch {
namespace {

/// Crashes that are kept; the oldest is dropped first.
constexpr std::size_t max_crashes = 128;
/// Suspects that are kept for one crash.
constexpr std::size_t max_suspects = 64;
/// Blocked features that are kept and reported.
constexpr std::size_t max_blocked = 64;
/// Crashes in one message, the newest first.
constexpr std::size_t max_reported_crashes = 16;

} // namespace

decision::crash_suspect make_crash_suspect(const base::pool_id& pool, const prompt_info& prompt,
                                           const base::fingerprint& request) {
    decision::crash_suspect suspect{request, {}};
    suspect.shared_parts.reserve(prompt.parts.size());
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        suspect.shared_parts.emplace_back(base::stable_hash(pool.value(), prompt.parts[i].id.value()));
    }
    return suspect;
}

void crash_attribution::add_crash(const base::upstream_id& upstream, base::time_point crashed_at,
                                  const std::vector<decision::crash_suspect>& suspects,
                                  base::time_point now) {
    if (now - crashed_at >= report_lifetime) {
        return;
    }
    auto found = std::find_if(crashes_.begin(), crashes_.end(), [&](const crash& known) {
        return known.upstream == upstream && known.crashed_at < crashed_at + same_crash_time &&
               crashed_at < known.crashed_at + same_crash_time;
    });
    if (found == crashes_.end()) {
        const auto next = std::find_if(crashes_.begin(), crashes_.end(),
                                       [&](const crash& known) { return crashed_at < known.crashed_at; });
        found = crashes_.insert(next, crash{upstream, crashed_at, now, {}});
    }
    for (const decision::crash_suspect& suspect : suspects) {
        prolong_blocks(suspect, crashed_at);
        if (found->suspects.size() == max_suspects ||
            !found->suspects.emplace(suspect.request, suspect.shared_parts).second) {
            continue;
        }
        found->changed_at = now;
        last_evidence_at_ = now;
        evaluated_ = false;
        open_suspects_.insert(suspect.request);
        open_suspects_.insert(suspect.shared_parts.begin(), suspect.shared_parts.end());
    }
    if (crashes_.size() > max_crashes) {
        drop_oldest_crash();
    }
}

/// Drops the crash, and the open suspects that no other crash names.
void crash_attribution::drop_oldest_crash() {
    const crash dropped = std::move(crashes_.front());
    crashes_.pop_front();
    const auto forget = [&](const base::fingerprint& feature) {
        if (std::none_of(crashes_.begin(), crashes_.end(),
                         [&](const crash& remaining) { return names(remaining, feature); })) {
            open_suspects_.erase(feature);
        }
    };
    for (const auto& [request, shared_parts] : dropped.suspects) {
        forget(request);
        std::for_each(shared_parts.begin(), shared_parts.end(), forget);
    }
}

void crash_attribution::prolong_blocks(const decision::crash_suspect& suspect, base::time_point crashed_at) {
    const auto prolong = [&](const base::fingerprint& feature) {
        const auto blocked = blocked_.find(feature);
        if (blocked != blocked_.end()) {
            blocked->second.last_crash = std::max(blocked->second.last_crash, crashed_at);
        }
    };
    prolong(suspect.request);
    std::for_each(suspect.shared_parts.begin(), suspect.shared_parts.end(), prolong);
}

void crash_attribution::add_success(const decision::crash_suspect& request, base::time_point answered_at,
                                    base::time_point now) {
    clear(request.request, answered_at, now);
    for (const base::fingerprint& part : request.shared_parts) {
        clear(part, answered_at, now);
    }
}

/// Ignores features that are neither suspected nor blocked, so that the state stays small.
void crash_attribution::clear(const base::fingerprint& feature, base::time_point answered_at,
                              base::time_point now) {
    if (open_suspects_.count(feature) == 0 && blocked_.count(feature) == 0) {
        return;
    }
    const auto known = successes_.find(feature);
    if (known != successes_.end() && answered_at <= known->second.answered_at) {
        return;
    }
    successes_[feature] = {answered_at, now};
    const auto blocked = blocked_.find(feature);
    if (blocked != blocked_.end() && blocked->second.last_crash < answered_at) {
        blocked_.erase(blocked);
    }
    const bool still_open = std::any_of(crashes_.begin(), crashes_.end(), [&](const crash& observed) {
        return answered_at <= observed.crashed_at && names(observed, feature);
    });
    if (!still_open) {
        open_suspects_.erase(feature);
    }
}

/// Returns true if the feature belongs to a suspect of the crash.
bool crash_attribution::names(const crash& observed, const base::fingerprint& feature) {
    return std::any_of(observed.suspects.begin(), observed.suspects.end(), [&](const auto& suspect) {
        const std::vector<base::fingerprint>& parts = suspect.second;
        return suspect.first == feature || std::find(parts.begin(), parts.end(), feature) != parts.end();
    });
}

void crash_attribution::merge(const decision::crash_news& news, base::time_point now) {
    for (const decision::upstream_crash& reported : news.crashes) {
        add_crash(reported.upstream, now - reported.age, reported.suspects, now);
    }
    for (const decision::cleared_feature& cleared : news.cleared) {
        clear(cleared.feature, now - cleared.age, now);
    }
    for (const decision::blocked_feature& reported : news.blocked) {
        const base::time_point last_crash = now - reported.age - age_error;
        if (reported.age < report_lifetime && is_suspect(reported.feature, last_crash)) {
            block(reported.feature, reported.kind, last_crash, now);
        }
    }
}

/// Returns true if no success after the crash shows that the feature is harmless.
bool crash_attribution::is_suspect(const base::fingerprint& feature, base::time_point crashed_at) const {
    const auto found = successes_.find(feature);
    return found == successes_.end() || found->second.answered_at <= crashed_at;
}

bool crash_attribution::has_blocked_part(const crash& observed) const {
    return std::any_of(observed.suspects.begin(), observed.suspects.end(), [&](const auto& suspect) {
        return std::any_of(suspect.second.begin(), suspect.second.end(),
                           [&](const base::fingerprint& part) { return blocked_.count(part) != 0; });
    });
}

/// Parts that may have caused the crash. If a blocked request explains it, these are only the parts of that
/// request, since one of them may be what makes it harmful.
std::set<base::fingerprint> crash_attribution::unexplained_parts(const crash& observed) const {
    std::set<base::fingerprint> parts;
    if (observed.crashed_at <= part_blocked_at_ || has_blocked_part(observed)) {
        return parts;
    }
    const bool explained =
        std::any_of(observed.suspects.begin(), observed.suspects.end(),
                    [&](const auto& suspect) { return blocked_.count(suspect.first) != 0; });
    for (const auto& [request, shared_parts] : observed.suspects) {
        if (explained && blocked_.count(request) == 0) {
            continue;
        }
        for (const base::fingerprint& part : shared_parts) {
            if (is_suspect(part, observed.crashed_at)) {
                parts.insert(part);
            }
        }
    }
    return parts;
}

std::map<base::fingerprint, crash_attribution::part_record> crash_attribution::part_records() const {
    std::map<base::fingerprint, part_record> records;
    for (const crash& observed : crashes_) {
        const std::set<base::fingerprint> parts = unexplained_parts(observed);
        for (const base::fingerprint& part : parts) {
            part_record& record = records[part];
            if (record.crashes++ == 0) {
                record.first_crash = observed.crashed_at;
            }
            if (record.crash_times == 0 || observed.crashed_at - record.last_crash >= separate_crash_time) {
                ++record.crash_times;
                record.last_crash = observed.crashed_at;
            }
        }
        for (const auto& [request, shared_parts] : observed.suspects) {
            for (std::size_t i = 0; i < shared_parts.size(); ++i) {
                if (parts.count(shared_parts[i]) != 0) {
                    records[shared_parts[i]].position = i;
                    records[shared_parts[i]].requests.insert(request);
                }
            }
        }
    }
    return records;
}

void crash_attribution::block(const base::fingerprint& feature, decision::feature_kind kind,
                              base::time_point last_crash, base::time_point now) {
    const auto found = blocked_.find(feature);
    if (found != blocked_.end()) {
        found->second.last_crash = std::max(found->second.last_crash, last_crash);
    } else if (blocked_.size() < max_blocked) {
        blocked_.emplace(feature, block_record{kind, last_crash});
        new_blocks_.push_back({feature, kind, now - last_crash});
        part_blocked_at_ = kind == decision::feature_kind::prompt_part ? now : part_blocked_at_;
    }
}

void crash_attribution::block_requests(base::time_point now) {
    std::map<base::fingerprint, int> crashes_by_request;
    for (const crash& observed : crashes_) {
        for (const auto& [request, shared_parts] : observed.suspects) {
            if (is_suspect(request, observed.crashed_at) &&
                ++crashes_by_request[request] >= min_request_crashes) {
                block(request, decision::feature_kind::request, observed.crashed_at, now);
            }
        }
    }
}

bool crash_attribution::is_harmful(const part_record& record, base::time_point now) {
    return record.crash_times >= min_part_crash_times && record.requests.size() > 1 &&
           now - record.first_crash >= observation_time;
}

/// Order in which parts are blocked. Of two that explain as many crashes, the later one affects fewer
/// requests.
std::tuple<bool, int, std::size_t> crash_attribution::rank(const part_record& record, base::time_point now) {
    return {is_harmful(record, now), record.crashes, record.position};
}

void crash_attribution::block_parts(base::time_point now) {
    while (blocked_.size() < max_blocked) {
        const std::map<base::fingerprint, part_record> records = part_records();
        const auto worst =
            std::max_element(records.begin(), records.end(), [&](const auto& a, const auto& b) {
                return rank(a.second, now) < rank(b.second, now);
            });
        if (worst == records.end() || !is_harmful(worst->second, now)) {
            return;
        }
        block(worst->first, decision::feature_kind::prompt_part, worst->second.last_crash, now);
    }
}

void crash_attribution::expire(base::time_point now) {
    while (!crashes_.empty() && now - crashes_.front().crashed_at >= report_lifetime) {
        drop_oldest_crash();
    }
    for (auto blocked = blocked_.begin(); blocked != blocked_.end();) {
        blocked = now - blocked->second.last_crash >= report_lifetime ? blocked_.erase(blocked)
                                                                      : std::next(blocked);
    }
    for (auto known = successes_.begin(); known != successes_.end();) {
        known =
            now - known->second.answered_at >= report_lifetime ? successes_.erase(known) : std::next(known);
    }
}

std::vector<decision::blocked_feature> crash_attribution::update(base::time_point now) {
    expire(now);
    // Without new evidence, a part becomes harmful at most by the end of the observation time.
    if (!evaluated_) {
        evaluated_ = now - last_evidence_at_ >= observation_time;
        block_requests(now);
        block_parts(now);
    }
    return std::exchange(new_blocks_, {});
}

bool crash_attribution::is_blocked(const decision::crash_suspect& request) const {
    return blocked_.count(request.request) != 0 ||
           std::any_of(request.shared_parts.begin(), request.shared_parts.end(),
                       [&](const base::fingerprint& part) { return blocked_.count(part) != 0; });
}

decision::crash_news crash_attribution::news(base::time_point now) const {
    decision::crash_news news;
    for (auto known = crashes_.rbegin();
         known != crashes_.rend() && news.crashes.size() < max_reported_crashes; ++known) {
        if (now - known->changed_at >= news_time) {
            continue;
        }
        decision::upstream_crash reported{known->upstream, now - known->crashed_at, {}};
        for (const auto& [request, shared_parts] : known->suspects) {
            if (is_suspect(request, known->crashed_at)) {
                reported.suspects.push_back({request, shared_parts});
            }
        }
        news.crashes.push_back(std::move(reported));
    }
    for (const auto& [feature, known] : successes_) {
        if (now - known.changed_at < news_time) {
            news.cleared.push_back({feature, now - known.answered_at});
        }
    }
    for (const auto& [feature, record] : blocked_) {
        news.blocked.push_back({feature, record.kind, now - record.last_crash});
    }
    return news;
}

} // namespace bluebell::dispatch
