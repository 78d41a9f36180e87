#include "dispatch/placement.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebell::dispatch {
namespace {

/// A peer's report counts for this long; its requests end with its connections if it is gone.
constexpr base::duration report_life = std::chrono::milliseconds(1500);
/// Prefill throughput of an engine over its share of the throughput that the operator states, which counts
/// the generation of answers as well.
constexpr double prefill_over_throughput = 2.0;
/// Weight of one observation in the smoothed slowness and failure share of an upstream.
constexpr double slowness_gain = 0.15;
constexpr double failure_gain = 0.1;
constexpr double max_slowness = 20;
constexpr double min_slowness = 0.7;
/// Extra cost of an upstream that fails every request.
constexpr base::duration failure_penalty = std::chrono::milliseconds(1500);
/// Extra cost of another data centre: its delay, and the price of the bytes.
constexpr base::duration remote_penalty = std::chrono::milliseconds(4);
/// Random part of the cost, so that routers with the same view do not all choose the same upstream.
constexpr base::duration spread = std::chrono::milliseconds(4);
/// First pause after a failed connection; doubles up to the longest.
constexpr base::duration first_pause = std::chrono::milliseconds(250);
constexpr base::duration longest_pause = std::chrono::seconds(2);
/// Part of the penalty for reading a shared part that applies at its home, the upstream that all routers
/// choose first for it.
constexpr double home_weight = 0.5;
/// Part of a prompt that has to be read again from which on the placement counts as cold.
constexpr double cold_share = 0.15;
/// Parts of one engine that a router which has just joined is told; they fit into one datagram.
constexpr std::size_t parts_told = 90;
/// Weight of a delay up to and beyond the comfortable time to the first event.
constexpr double early_weight = 0.25;
constexpr double tardy_weight = 1.5;
/// Cost of an engine without a free slot: about the time until one of its streams ends.
constexpr base::duration full_penalty = std::chrono::milliseconds(120);
/// Interval at which parts that no engine can keep any more are forgotten.
constexpr base::duration expiry_interval = std::chrono::seconds(2);
/// Fewest prompt tokens that are worth copying from another engine, and the time that it takes besides the
/// transfer.
constexpr token_count least_copy(100);
constexpr base::duration copy_setup = std::chrono::milliseconds(4);
/// Engines that fail more than this share of their requests are no donors.
constexpr double donor_failures = 0.3;
/// Interval at which the parts of running requests are reported again.
constexpr base::duration refresh_interval = std::chrono::seconds(1);
constexpr double ns_per_ms = 1e6;
/// Slots of an engine that are left free for requests that other routers have just placed: this many, and no
/// more than this share of all. A request that finds no slot waits for the end of a whole stream.
constexpr double slot_margin = 3;
constexpr double slot_margin_share = 0.1;
/// Requests that a plain service may have waiting for each slot.
constexpr double plain_overcommit = 3;
/// Share of an engine's memory that requests may fill.
constexpr double memory_share = 0.9;
/// Connections to one upstream that a router may always have.
constexpr std::uint32_t min_connections = 2;
/// Share of an upstream's connections that all routers use together.
constexpr double connection_use = 0.9;
/// Share that one router may use of them. The connections of all together are bounded by the requests that
/// are placed, and callers may spread so unevenly that one router places most of them.
constexpr double connection_share_of_one = 0.25;

std::uint64_t own_stored(const upstream_state& state) {
    return static_cast<std::uint64_t>(state.stored_tokens.value());
}

decision::upstream_work to_message(const base::upstream_id& id, const placed_work& work,
                                   std::uint64_t stored) {
    return {id,
            work.running,
            static_cast<std::uint64_t>(work.pending_tokens.value()),
            static_cast<std::uint64_t>(work.memory_tokens.value()),
            stored,
            {}};
}

} // namespace

void placement::set_catalogue(catalogue_ptr value) {
    catalogue_ = std::move(value);
    for (const auto& [id, kind] : catalogue_->pools) {
        const std::size_t count = ready_count(id);
        if (kind.engine && count > 0 && catalogue_->tokens_per_s > 0) {
            models_[id].set_prior(prefill_over_throughput * catalogue_->tokens_per_s /
                                  (1000.0 * static_cast<double>(count)));
        }
    }
}

void placement::set_roster(const roster& list) {
    entries_ = list.entries();
    ready_.clear();
    for (const auto& [id, entry] : entries_) {
        const auto [found, added] = states_.try_emplace(id);
        upstream_state& state = found->second;
        if (added) {
            state.peers = sum_peer_work(id);
        }
        if (entry.phase == upstream_phase::ready) {
            ready_[entry.pool].push_back({&entry, &state});
        }
        if (state.started_ms != entry.started_ms) {
            const placed_work own = state.own;
            const placed_work peers = state.peers;
            state = upstream_state{};
            state.own = own;
            state.peers = peers;
            state.started_ms = entry.started_ms;
        }
    }
    for (auto state = states_.begin(); state != states_.end();) {
        const bool gone = entries_.count(state->first) == 0 && state->second.own.running == 0;
        state = gone ? states_.erase(state) : std::next(state);
    }
    if (catalogue_) {
        set_catalogue(catalogue_);
    }
}

void placement::receive_report(const base::vm_id& from, const std::vector<decision::upstream_work>& work,
                        base::time_point now, retelling scope) {
    peer_report& report = peers_[from];
    report.received_at = now;
    for (const decision::upstream_work& each : work) {
        peer_work& last = report.work[each.upstream];
        subtract_report(each.upstream, last);
        const std::uint64_t stored =
            each.stored_tokens > last.stored_tokens && last.stored_tokens > 0 ? each.stored_tokens - last.stored_tokens : 0;
        last = {{each.running, token_count(static_cast<std::int64_t>(each.pending_tokens)),
                 token_count(static_cast<std::int64_t>(each.memory_tokens))},
                each.stored_tokens,
                last.stored_growth + stored};
        const auto state = states_.find(each.upstream);
        if (state != states_.end()) {
            state->second.peers += last.work;
            state->second.cache.add_stored(token_count(static_cast<std::int64_t>(stored)));
            state->second.peers_stored_tokens += stored;
            for (const std::uint64_t part : each.parts) {
                state->second.cache.touch(part_id(part));
            }
            if (scope != retelling::none) {
                std::set<std::uint64_t>& heard = scope == retelling::everywhere
                                                     ? state->second.parts_for_fleet
                                                     : state->second.parts_for_data_centre;
                heard.insert(each.parts.begin(), each.parts.end());
            }
        }
    }
}

/// What the fleet has at the upstream, less what `without` reported.
decision::upstream_work placement::work_excluding(const base::upstream_id& id, const upstream_state& state,
                                               const std::set<base::vm_id>& without) const {
    placed_work work = state.total();
    std::uint64_t stored = own_stored(state) + state.peers_stored_tokens;
    for (const base::vm_id& vm : without) {
        const auto report = peers_.find(vm);
        if (report == peers_.end()) {
            continue;
        }
        const auto reported = report->second.work.find(id);
        if (reported != report->second.work.end()) {
            work -= reported->second.work;
            stored -= std::min(stored, reported->second.stored_growth);
        }
    }
    return to_message(id, work, stored);
}

void placement::begin_aggregation(base::time_point now) {
    own_reports_.clear();
    for (decision::upstream_work& work : own_work(now)) {
        const base::upstream_id id = work.upstream;
        own_reports_.emplace(id, std::move(work));
    }
}

std::vector<decision::upstream_work> placement::aggregated_work(const std::set<base::vm_id>& without,
                                                       retelling scope) const {
    std::vector<decision::upstream_work> told;
    for (const auto& [id, state] : states_) {
        decision::upstream_work work = work_excluding(id, state, without);
        std::set<std::uint64_t> parts = state.parts_for_fleet;
        if (scope == retelling::own_data_centre) {
            parts.insert(state.parts_for_data_centre.begin(), state.parts_for_data_centre.end());
        }
        const auto own = own_reports_.find(id);
        if (own != own_reports_.end()) {
            parts.insert(own->second.parts.begin(), own->second.parts.end());
        }
        if (work.running == 0 && parts.empty() && last_aggregated_.count(id) == 0) {
            continue;
        }
        work.parts.assign(parts.begin(), parts.end());
        told.push_back(std::move(work));
    }
    return told;
}

void placement::end_aggregation() {
    last_aggregated_.clear();
    own_reports_.clear();
    for (auto& [id, state] : states_) {
        if (state.total().running > 0) {
            last_aggregated_.insert(id);
        }
        state.parts_for_data_centre.clear();
        state.parts_for_fleet.clear();
    }
}

placed_work placement::sum_peer_work(const base::upstream_id& upstream) const {
    placed_work sum;
    for (const auto& [vm, report] : peers_) {
        const auto reported = report.work.find(upstream);
        if (reported != report.work.end()) {
            sum += reported->second.work;
        }
    }
    return sum;
}

/// Takes what a peer reported of an upstream out of the sum.
void placement::subtract_report(const base::upstream_id& upstream, peer_work& reported) {
    const placed_work work = std::exchange(reported.work, {});
    const auto state = states_.find(upstream);
    if (state != states_.end()) {
        state->second.peers -= work;
    }
}

void placement::drop_peer(const base::vm_id& peer) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return;
    }
    for (auto& [upstream, reported] : found->second.work) {
        subtract_report(upstream, reported);
    }
    peers_.erase(found);
}

void placement::update(base::time_point now) {
    std::vector<base::vm_id> silent;
    for (const auto& [vm, report] : peers_) {
        if (now - report.received_at > report_life) {
            silent.push_back(vm);
        }
    }
    for (const base::vm_id& vm : silent) {
        drop_peer(vm);
    }
    if (now >= next_part_expiry_) {
        next_part_expiry_ = now + expiry_interval;
        expire_parts();
    }
}

const engine_traits* placement::engine_of(const base::upstream_id& upstream) const {
    const auto entry = entries_.find(upstream);
    return entry == entries_.end() || !catalogue_ ? nullptr : catalogue_->engine(entry->second.pool);
}

std::vector<decision::upstream_work> placement::work_with_cached_parts(const std::set<base::vm_id>* without) const {
    std::vector<decision::upstream_work> told;
    for (const auto& [id, state] : states_) {
        const engine_traits* const engine = engine_of(id);
        if (engine == nullptr) {
            continue;
        }
        decision::upstream_work work = without == nullptr ? to_message(id, state.own, own_stored(state))
                                                          : work_excluding(id, state, *without);
        for (const part_id part : state.cache.recent_parts(cache_capacity(state, *engine), parts_told)) {
            work.parts.push_back(part.value());
        }
        told.push_back(std::move(work));
    }
    return told;
}

void placement::expire_parts() {
    for (auto& [id, state] : states_) {
        if (const engine_traits* const engine = engine_of(id)) {
            state.cache.expire(engine->memory * 2);
        }
    }
}

std::vector<decision::upstream_work> placement::own_work(base::time_point now) {
    std::vector<decision::upstream_work> told;
    std::set<base::upstream_id> named;
    unreported_tokens_ = {};
    const bool refresh = now >= next_part_refresh_;
    if (refresh) {
        next_part_refresh_ = now + refresh_interval;
    }
    for (auto& [id, state] : states_) {
        for (const auto& [part, uses] : state.in_use) {
            if (refresh) {
                state.cache.touch(part);
                state.unreported_parts.push_back(part.value());
            }
        }
        if (state.own.running == 0 && state.unreported_parts.empty() && last_reported_.count(id) == 0) {
            continue;
        }
        told.push_back(to_message(id, state.own, own_stored(state)));
        told.back().parts = std::exchange(state.unreported_parts, {});
        if (state.own.running > 0) {
            named.insert(id);
        }
    }
    last_reported_ = std::move(named);
    return told;
}

std::size_t placement::ready_count(const base::pool_id& pool) const {
    const auto found = ready_.find(pool);
    return found == ready_.end() ? 0 : found->second.size();
}

/// The last part of a prompt is the request's own; the one before is what requests share.
const placement::candidate* placement::preferred_engine(const placement_request& what) const {
    const auto found = ready_.find(what.pool);
    if (what.prompt == nullptr || what.prompt->parts.size() < 2 || found == ready_.end()) {
        return nullptr;
    }
    const std::uint64_t shared = what.prompt->parts[what.prompt->parts.size() - 2].id.value();
    const candidate* best = nullptr;
    std::uint64_t best_score = 0;
    for (const candidate& each : found->second) {
        const std::uint64_t score = base::stable_hash(each.entry->id.value(), shared);
        if (best == nullptr || score > best_score) {
            best = &each;
            best_score = score;
        }
    }
    return best;
}

/// Cost of a delay: little while the first event is early enough, more than its length beyond.
base::duration placement::latency_cost(base::duration delay, base::duration comfortable) {
    const base::duration free = std::min(delay, comfortable);
    return std::chrono::duration_cast<base::duration>(free * early_weight + (delay - free) * tardy_weight);
}

token_count placement::cache_capacity(const upstream_state& state, const engine_traits& engine) {
    const double memory = static_cast<double>(engine.memory.value());
    const double running = static_cast<double>(state.total().memory_tokens.value());
    return token_count(static_cast<std::int64_t>(std::max(0.0, memory - running)));
}

/// Tokens at the start of the prompt that the upstream probably does not have to read.
token_count placement::expected_cached_tokens(const placement_request& what, const upstream_state& state,
                            const engine_traits& engine) {
    const token_count room = cache_capacity(state, engine);
    double sum = 0;
    double likely = 1;
    for (const prompt_part& part : what.prompt->parts) {
        // A part is of use only with all parts before it.
        likely = std::min(likely, state.cache.hit_probability(part.id, room));
        sum += likely * static_cast<double>(part.tokens.value());
    }
    return token_count(static_cast<std::int64_t>(sum));
}

placement::keepers placement::find_cache_holders(const placement_request& what, const engine_traits& engine,
                                           const std::vector<candidate>& ready, base::time_point now) {
    keepers known;
    const bool copying = engine.copied_tokens_per_ms > 0;
    known.cached_tokens.reserve(ready.size());
    for (const candidate& each : ready) {
        const token_count here = expected_cached_tokens(what, *each.state, engine);
        known.cached_tokens.push_back(here);
        if (!copying || now < each.state->down_until || each.state->failure_rate > donor_failures) {
            continue;
        }
        if (here > known.best_tokens) {
            known.second_best = std::exchange(known.best, &each);
            known.second_best_tokens = std::exchange(known.best_tokens, here);
        } else if (here > known.second_best_tokens) {
            known.second_best = &each;
            known.second_best_tokens = here;
        }
    }
    return known;
}

/// Fills in what the choice of an engine means and returns its cost.
base::duration placement::estimate_cost(const placement_request& what, const candidate& at, bool home,
                                const engine_traits& engine, const prefill_model& model, const keepers& known,
                                token_count kept_here, placement_choice& choice) {
    const upstream_state& state = *at.state;
    const token_count own = what.prompt->parts.empty() ? token_count() : what.prompt->parts.back().tokens;
    const token_count shared = std::max(what.prompt->prompt_tokens - own, token_count());
    const candidate* const donor = known.best == &at ? known.second_best : known.best;
    const token_count copied = (known.best == &at ? known.second_best_tokens : known.best_tokens) - kept_here;
    token_count available = kept_here;
    base::duration copying{};
    if (donor != nullptr && copied >= least_copy) {
        choice.copy_source = donor->entry->id;
        choice.copied_tokens = copied;
        available += copied;
        const double ms = static_cast<double>(copied.value()) / engine.copied_tokens_per_ms;
        copying = copy_setup + base::duration(static_cast<base::duration::rep>(ms * ns_per_ms));
    }
    choice.uncached_tokens = std::max(what.prompt->prompt_tokens - available, token_count(1));
    choice.tokens_ahead = state.total().pending_tokens;
    choice.first_event_delay = copying + std::chrono::duration_cast<base::duration>(
                                       model.predict(choice.tokens_ahead + choice.uncached_tokens) * state.slowness);
    choice.queueing_delay = choice.first_event_delay -
                  std::chrono::duration_cast<base::duration>(model.predict(choice.uncached_tokens) * state.slowness);
    const double reread = static_cast<double>(std::max(shared - available, token_count()).value());
    choice.cache_miss = reread > cold_share * static_cast<double>(what.prompt->prompt_tokens.value());
    const double weight = (what.cache_miss_weight - 1) * (home ? home_weight : 1);
    const base::duration penalty(
        static_cast<base::duration::rep>(reread / model.tokens_per_ms() * weight * ns_per_ms));
    return latency_cost(choice.first_event_delay, what.latency_target) + penalty + copying;
}

bool placement::has_capacity(const upstream_entry& entry, const upstream_state& state,
                         const engine_traits* engine, token_count memory, double room) {
    const placed_work total = state.total();
    const double slots = static_cast<double>(entry.slots.value());
    if (engine == nullptr) {
        return static_cast<double>(total.running) < slots * plain_overcommit;
    }
    const double margin = std::min(slot_margin, slots * slot_margin_share);
    if (total.running > 0 && static_cast<double>(total.running) >= (slots - margin) * room) {
        return false;
    }
    const double limit = static_cast<double>(engine->memory.value()) * memory_share * room;
    return limit <= 0 || total.running == 0 || static_cast<double>((total.memory_tokens + memory).value()) <= limit;
}

std::optional<placement_choice> placement::choose(const placement_request& what, base::time_point now) {
    const auto found = ready_.find(what.pool);
    if (found == ready_.end() || !catalogue_) {
        return std::nullopt;
    }
    const engine_traits* const engine = catalogue_->engine(what.pool);
    const std::vector<candidate>& ready = found->second;
    const candidate* const kept_at = engine != nullptr ? preferred_engine(what) : nullptr;
    const keepers known = engine != nullptr ? find_cache_holders(what, *engine, ready, now) : keepers{};
    const prefill_model& model = models_[what.pool];
    std::uniform_int_distribution<base::duration::rep> jitter(0, spread.count());
    const std::size_t first = std::uniform_int_distribution<std::size_t>(0, ready.size() - 1)(random_);
    std::optional<placement_choice> best;
    base::duration best_cost{};
    for (std::size_t i = 0; i < ready.size(); ++i) {
        const upstream_entry& entry = *ready[i].entry;
        const upstream_state& state = *ready[i].state;
        if ((what.excluded != nullptr && what.excluded->count(entry.id) != 0) || now < state.down_until) {
            continue;
        }
        if (engine == nullptr && !has_capacity(entry, state, engine, what.memory_tokens, what.capacity_share)) {
            continue;
        }
        const bool keeper = &ready[i] == known.best || &ready[i] == known.second_best;
        if (what.sample_size > 0 && !keeper && (i + ready.size() - first) % ready.size() >= what.sample_size) {
            continue;
        }
        placement_choice choice;
        choice.upstream = entry.id;
        base::duration cost{};
        if (engine != nullptr) {
            cost = estimate_cost(what, ready[i], kept_at == &ready[i], *engine, model, known, known.cached_tokens[i], choice);
            choice.full = !has_capacity(entry, state, engine, what.memory_tokens,
                                    choice.cache_miss ? std::min(what.capacity_share, what.cache_miss_capacity_share) : what.capacity_share);
        } else {
            const double load = static_cast<double>(state.total().running) /
                                std::max(1.0, static_cast<double>(entry.slots.value()));
            choice.first_event_delay = std::chrono::duration_cast<base::duration>(std::chrono::milliseconds(50) *
                                                                            (load * state.slowness));
            choice.queueing_delay = choice.first_event_delay;
            cost = choice.first_event_delay;
        }
        cost += std::chrono::duration_cast<base::duration>(failure_penalty * state.failure_rate) +
                (entry.data_centre == data_centre_ ? base::duration::zero() : remote_penalty) +
                base::duration(jitter(random_));
        if (choice.full) {
            cost += full_penalty;
        }
        if (!best || cost < best_cost) {
            best = choice;
            best_cost = cost;
        }
    }
    // It is better to wait for the best one than to have a shared part read again elsewhere.
    return best && best->full ? std::nullopt : best;
}

void placement::record_sent(const placement_choice& choice, const placed_work& work, const prompt_info& prompt) {
    upstream_state& state = states_[choice.upstream];
    state.own += work;
    unreported_tokens_ += work.pending_tokens;
    // What the answer adds counts from the start, since the memory is claimed as it grows.
    const token_count added = work.memory_tokens - prompt.prompt_tokens + work.pending_tokens + choice.copied_tokens;
    state.stored_tokens += added;
    state.cache.add_stored(added);
    for (std::size_t i = 0; i < prompt.parts.size(); ++i) {
        state.cache.touch(prompt.parts[i].id);
        if (i + 1 < prompt.parts.size()) {
            state.unreported_parts.push_back(prompt.parts[i].id.value());
            ++state.in_use[prompt.parts[i].id];
        }
    }
}

void placement::record_first_event(const base::upstream_id& upstream, const base::pool_id& pool, token_count pending,
                      token_count ahead, base::duration elapsed) {
    upstream_state& state = states_[upstream];
    state.own.pending_tokens = std::max(state.own.pending_tokens - pending, token_count());
    prefill_model& model = models_[pool];
    const base::duration predicted = model.predict(ahead + pending);
    const double ratio =
        static_cast<double>(elapsed.count()) / std::max(1.0, static_cast<double>(predicted.count()));
    state.slowness =
        std::clamp(state.slowness + slowness_gain * (ratio - state.slowness), min_slowness, max_slowness);
    model.observe(ahead + pending, elapsed);
}

void placement::record_finished(const base::upstream_id& upstream, const placed_work& work, const prompt_info& prompt) {
    const auto found = states_.find(upstream);
    if (found == states_.end()) {
        return;
    }
    upstream_state& state = found->second;
    // An engine drops no part that a running request uses, so age begins anew at its end.
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
        const auto use = state.in_use.find(prompt.parts[i].id);
        if (use == state.in_use.end()) {
            continue;
        }
        if (--use->second == 0) {
            state.in_use.erase(use);
        }
        state.cache.touch(prompt.parts[i].id);
        state.unreported_parts.push_back(prompt.parts[i].id.value());
    }
    placed_work& own = state.own;
    own.running -= std::min(own.running, work.running);
    own.pending_tokens = std::max(own.pending_tokens - work.pending_tokens, token_count());
    own.memory_tokens = std::max(own.memory_tokens - work.memory_tokens, token_count());
}

void placement::record_success(const base::upstream_id& upstream) {
    upstream_state& state = states_[upstream];
    state.failure_rate *= 1 - failure_gain;
    state.connect_failures = 0;
}

void placement::record_failure(const base::upstream_id& upstream) {
    upstream_state& state = states_[upstream];
    state.failure_rate += failure_gain * (1 - state.failure_rate);
}

void placement::record_connect_failure(const base::upstream_id& upstream, base::time_point now) {
    upstream_state& state = states_[upstream];
    const std::uint32_t doublings = std::min(state.connect_failures++, 6U);
    avoid(upstream, std::min(first_pause * (1U << doublings), longest_pause), now);
}

void placement::avoid(const base::upstream_id& upstream, base::duration time, base::time_point now) {
    upstream_state& state = states_[upstream];
    state.down_until = std::max(state.down_until, now + time);
}

std::uint32_t placement::connection_limit(const base::pool_id& pool, std::size_t routers) const {
    const dispatch::pool* const kind = catalogue_ ? catalogue_->find(pool) : nullptr;
    const double all = kind == nullptr ? 0 : static_cast<double>(kind->max_connections) * connection_use;
    const double even = 1 / static_cast<double>(std::max<std::size_t>(routers, 1));
    return std::max(min_connections,
                    static_cast<std::uint32_t>(all * std::max(even, connection_share_of_one)));
}

} // namespace bluebell::dispatch
