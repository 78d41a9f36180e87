#include "dispatch/placement.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace bluebell::dispatch {
namespace {

/// A peer's report counts for this long. Requests of a peer that is gone end with its connections.
constexpr base::duration report_timeout = std::chrono::milliseconds(1500);
/// Throughput of an engine while it only reads prompts, as a multiple of its share of the throughput that the
/// operator states. That figure also counts the generation of answers.
constexpr double prefill_throughput_factor = 2.0;
/// Weight of one observation in the smoothed slowness and failure rate of an upstream.
constexpr double slowness_gain = 0.15;
constexpr double failure_gain = 0.1;
constexpr double max_slowness = 20;
constexpr double min_slowness = 0.7;
/// Extra cost of an upstream that fails every request.
constexpr base::duration failure_penalty = std::chrono::milliseconds(1500);
/// Extra cost of another data centre where the capacity of the pool does not vary: its network delay, and the
/// price of the transferred bytes.
constexpr base::duration remote_penalty = std::chrono::milliseconds(4);
/// Estimated bytes of a request for an engine beside its prompt, of a token in a prompt, of a token in an
/// answer with its event's framing, and of a plain request with its answer.
constexpr std::int64_t request_head_bytes = 1000;
constexpr std::int64_t prompt_token_bytes = 4;
constexpr std::int64_t answer_token_bytes = 120;
constexpr std::int64_t plain_request_bytes = 3000;
/// Predicted time of a plain request for each request per slot that is there already.
constexpr base::duration plain_request_time = std::chrono::milliseconds(50);
/// Largest random part of the cost, so that routers with the same view do not all choose the same upstream.
constexpr base::duration cost_jitter = std::chrono::milliseconds(4);
/// Pause after the first failed connection; doubles with each further one up to the maximum.
constexpr base::duration min_connect_pause = std::chrono::milliseconds(250);
constexpr base::duration max_connect_pause = std::chrono::seconds(2);
/// Factor on the penalty for reading a shared part again that applies at the preferred engine of the part,
/// which all routers choose first for it.
constexpr double preferred_engine_weight = 0.5;
/// Share of a prompt that has to be read again from which on the placement counts as a cache miss.
constexpr double cache_miss_share = 0.15;
/// Cached parts of one engine that are sent to a router which has just joined; they fit into one datagram.
constexpr std::size_t max_cached_parts = 90;
/// Weight of a delay up to the latency target, and beyond it.
constexpr double early_delay_weight = 0.25;
constexpr double late_delay_weight = 1.5;
/// Cost of an engine without a free slot: about the time until one of its streams ends.
constexpr base::duration full_engine_penalty = std::chrono::milliseconds(120);
/// Interval at which parts that no engine can have cached any more are forgotten.
constexpr base::duration part_expiry_interval = std::chrono::seconds(2);
/// Fewest prompt tokens that are worth copying from another engine, and the time that a copy takes besides
/// the transfer.
constexpr token_count min_copy_tokens(100);
constexpr base::duration copy_setup_time = std::chrono::milliseconds(4);
/// Engines that fail more than this share of their requests are not used as a copy source.
constexpr double max_copy_source_failure_rate = 0.3;
/// Interval at which the parts of running requests are reported again.
constexpr base::duration part_refresh_interval = std::chrono::seconds(1);
constexpr double ns_per_ms = 1e6;
/// Time to read the prompts that an engine has not read from which on it has no room.
constexpr base::duration full_prefill_time = std::chrono::milliseconds(400);
/// Slots of an engine that are left free for requests that other routers have just placed: this many, and no
/// more than this share of all slots. A request that finds no slot waits for the end of a whole stream.
constexpr double max_slot_margin = 3;
constexpr double max_slot_margin_share = 0.1;
/// Requests that a plain service may have for each slot, running or waiting.
constexpr double plain_requests_per_slot = 3;
/// Time within which the number of requests that a plain service states counts less and less: the age of the
/// reports in a fleet with delegates.
constexpr base::duration stated_requests_time = std::chrono::milliseconds(150);
/// Most requests that an upstream is believed to have.
constexpr std::uint64_t max_stated_requests = 10000;
/// Share of an engine's memory that requests may fill.
constexpr double max_memory_share = 0.9;
/// Share of an engine's memory up to which requests are placed. The rest keeps cached parts. Each prompt that
/// an engine reads delays the tokens of every stream beside it, so with more of them in progress long answers
/// miss their deadline.
constexpr double target_memory_share = 0.3;
/// Part of that memory which must be free for a request, however large it is. Otherwise the largest would
/// find no room as long as small ones arrive.
constexpr double required_room_share = 0.5;
/// Connections to one upstream that a router may always have.
constexpr std::uint32_t min_connections_per_router = 2;
/// Share of an upstream's connections that all routers use together.
constexpr double usable_connection_share = 0.9;
/// Share of the usable connections that one router may have, if its even share is smaller. The connections of
/// all routers together are bounded by the requests that are placed, and callers may spread so unevenly that
/// one router places most of them.
constexpr double max_router_connection_share = 0.25;

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

/// Estimated bytes of a request and its answer.
base::byte_count crossing_bytes(const placement_request& request) {
    if (request.prompt == nullptr || request.prompt->prompt_tokens.value() <= 0) {
        return base::byte_count(static_cast<std::uint64_t>(plain_request_bytes));
    }
    const std::int64_t prompt = request.prompt->prompt_tokens.value();
    const std::int64_t answer = std::max(request.memory_tokens.value() - prompt, std::int64_t{0});
    return base::byte_count(static_cast<std::uint64_t>(request_head_bytes + prompt * prompt_token_bytes +
                                                       answer * answer_token_bytes));
}

/// The cheapest of the choices that were offered.
class least_cost_choice {
public:
    void offer(const placement_choice& choice, base::duration cost) {
        if (!best_ || cost < best_cost_) {
            best_ = choice;
            best_cost_ = cost;
        }
    }
    /// Waiting for the best engine is better than reading a shared part again at another one.
    [[nodiscard]] std::optional<placement_choice> unless_full() const {
        return best_ && best_->full ? std::nullopt : best_;
    }

private:
    std::optional<placement_choice> best_;
    base::duration best_cost_{};
};

} // namespace

void placement::set_catalogue(catalogue_ptr value) {
    catalogue_ = std::move(value);
    max_pauses_.clear();
    for (const route& known : catalogue_->routes) {
        for (const weighted_pool& target : known.pools) {
            if (known.max_pause > base::duration::zero()) {
                const auto [found, added] = max_pauses_.try_emplace(target.pool, known.max_pause);
                found->second = std::min(found->second, known.max_pause);
            }
        }
    }
    for (const auto& [id, pool_entry] : catalogue_->pools) {
        // The operator states the throughput of all engines, also of those that are evacuated.
        const auto withheld = withheld_.find(id);
        const std::size_t count =
            ready_count(id) + (withheld == withheld_.end() ? 0 : withheld->second.size());
        if (pool_entry.engine && count > 0 && catalogue_->tokens_per_s > 0) {
            models_[id].set_prior(prefill_throughput_factor * catalogue_->tokens_per_s /
                                  (1000.0 * static_cast<double>(count)));
        }
    }
}

void placement::set_roster(const roster& list) {
    entries_ = list.entries();
    ready_.clear();
    withheld_.clear();
    for (const auto& [id, entry] : entries_) {
        const auto [found, added] = states_.try_emplace(id);
        upstream_state& state = found->second;
        if (added) {
            state.peers = sum_peer_work(id);
        }
        if (entry.phase == upstream_phase::ready && evacuated_.count(entry.data_centre) != 0) {
            withheld_[entry.pool].push_back(&entry);
        } else if (entry.phase == upstream_phase::ready) {
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
                               base::time_point now, forward_scope scope) {
    peer_report& report = peers_[from];
    report.received_at = now;
    for (const decision::upstream_work& upstream_report : work) {
        peer_work& reported = report.work[upstream_report.upstream];
        subtract_report(upstream_report.upstream, reported);
        const std::uint64_t newly_stored =
            upstream_report.stored_tokens > reported.stored_tokens && reported.stored_tokens > 0
                ? upstream_report.stored_tokens - reported.stored_tokens
                : 0;
        reported = {{upstream_report.running,
                     token_count(static_cast<std::int64_t>(upstream_report.pending_tokens)),
                     token_count(static_cast<std::int64_t>(upstream_report.memory_tokens))},
                    upstream_report.stored_tokens,
                    reported.stored_growth + newly_stored};
        const auto state = states_.find(upstream_report.upstream);
        if (state != states_.end()) {
            state->second.peers += reported.work;
            state->second.cache.add_stored(token_count(static_cast<std::int64_t>(newly_stored)));
            state->second.peers_stored_tokens += newly_stored;
            for (const std::uint64_t part : upstream_report.prompt_parts) {
                state->second.cache.touch(part_id(part));
            }
            if (scope != forward_scope::none) {
                std::set<std::uint64_t>& to_forward = scope == forward_scope::everywhere
                                                          ? state->second.parts_for_fleet
                                                          : state->second.parts_for_data_centre;
                to_forward.insert(upstream_report.prompt_parts.begin(), upstream_report.prompt_parts.end());
            }
        }
    }
}

/// Sums the fleet's work at the upstream, less what the routers of `without` reported.
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
                                                                forward_scope scope) const {
    std::vector<decision::upstream_work> report;
    for (const auto& [id, state] : states_) {
        decision::upstream_work work = work_excluding(id, state, without);
        std::set<std::uint64_t> parts = state.parts_for_fleet;
        if (scope == forward_scope::own_data_centre) {
            parts.insert(state.parts_for_data_centre.begin(), state.parts_for_data_centre.end());
        }
        const auto own = own_reports_.find(id);
        if (own != own_reports_.end()) {
            parts.insert(own->second.prompt_parts.begin(), own->second.prompt_parts.end());
        }
        if (work.running == 0 && parts.empty() && last_aggregated_.count(id) == 0) {
            continue;
        }
        work.prompt_parts.assign(parts.begin(), parts.end());
        report.push_back(std::move(work));
    }
    return report;
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

/// Removes a peer's last report on an upstream from the sum over the peers.
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
    updated_at_ = now;
    std::vector<base::vm_id> silent;
    for (const auto& [vm, report] : peers_) {
        if (now - report.received_at > report_timeout) {
            silent.push_back(vm);
        }
    }
    for (const base::vm_id& vm : silent) {
        drop_peer(vm);
    }
    if (now >= next_part_expiry_) {
        next_part_expiry_ = now + part_expiry_interval;
        expire_parts();
    }
    for (const auto& [pool, ready] : ready_) {
        if (capacity_varies(pool)) {
            crossing_.update(pool, loads_of(pool, now), now);
        }
    }
}

bool placement::capacity_varies(const base::pool_id& pool) const {
    const dispatch::pool* const found = catalogue_ ? catalogue_->find(pool) : nullptr;
    return found != nullptr && (found->warmup_rate.value() > 0 || states_pace(pool));
}

bool placement::any_capacity_varies() const {
    return std::any_of(ready_.begin(), ready_.end(),
                       [&](const auto& ready) { return capacity_varies(ready.first); });
}

void placement::record_round_trip(const base::upstream_id& upstream, base::duration time,
                                  base::time_point now) {
    const auto entry = entries_.find(upstream);
    if (entry != entries_.end()) {
        crossing_.record_round_trip(entry->second.data_centre, time, now);
    }
}

std::optional<base::time_point> placement::last_report(const base::vm_id& peer) const {
    const auto found = peers_.find(peer);
    return found == peers_.end() ? std::nullopt : std::optional<base::time_point>(found->second.received_at);
}

std::map<base::data_centre_id, data_centre_load> placement::loads_of(const base::pool_id& pool,
                                                                     base::time_point now) const {
    std::map<base::data_centre_id, data_centre_load> loads;
    std::map<base::data_centre_id, std::pair<base::duration, base::duration::rep>> pending;
    const auto found = ready_.find(pool);
    const bool engines = catalogue_ && catalogue_->engine(pool) != nullptr;
    const auto model = models_.find(pool);
    if (found == ready_.end() || (engines && model == models_.end())) {
        return loads;
    }
    for (const candidate& upstream : found->second) {
        if (now < upstream.state->available_at() || cold(upstream.entry->id)) {
            continue;
        }
        const placed_work work = upstream.state->total();
        const double slots = std::max(1.0, static_cast<double>(upstream.entry->slots.value()));
        const double running = static_cast<double>(work.running);
        data_centre_load& load = loads[upstream.entry->data_centre];
        load.slots += slots;
        load.occupancy += std::min(running / (engines ? 1 : plain_requests_per_slot), slots);
        auto& [time, upstreams] = pending[upstream.entry->data_centre];
        time += engines ? model->second.predict(work.pending_tokens) - model->second.predict(token_count())
                        : std::chrono::duration_cast<base::duration>(plain_request_time * (running / slots));
        ++upstreams;
    }
    for (auto& [data_centre, load] : loads) {
        const auto& [time, upstreams] = pending[data_centre];
        load.occupancy /= load.slots;
        load.pending_time = time / upstreams;
    }
    return loads;
}

/// An upstream elsewhere that has considerably more of the prompt cached than any in the own data centre may
/// be considered in any case.
std::vector<bool> placement::permitted_upstreams(const placement_request& request,
                                                 const std::vector<candidate>& ready,
                                                 const cache_holders& holders) {
    if (request.version != nullptr || !capacity_varies(request.pool)) {
        return {};
    }
    std::vector<bool> permitted(ready.size());
    const crossing::selection selected = crossing_.select(request.pool, crossing_bytes(request));
    token_count cached_here;
    for (std::size_t i = 0; i < holders.cached_tokens.size(); ++i) {
        if (ready[i].entry->data_centre == data_centre_) {
            cached_here = std::max(cached_here, holders.cached_tokens[i]);
        }
    }
    for (std::size_t i = 0; i < ready.size(); ++i) {
        const token_count more_cached =
            i < holders.cached_tokens.size() ? holders.cached_tokens[i] - cached_here : token_count();
        permitted[i] = selected.allows(ready[i].entry->data_centre) ||
                       (more_cached.value() > 0 &&
                        static_cast<double>(more_cached.value()) >
                            cache_miss_share * static_cast<double>(request.prompt->prompt_tokens.value()));
    }
    return permitted;
}

base::duration placement::remote_cost(const placement_request& request, const upstream_entry& target,
                                      bool adaptive) const {
    if (target.data_centre == data_centre_) {
        return base::duration::zero();
    }
    return adaptive ? crossing_.cost(target.data_centre, crossing_bytes(request)) : remote_penalty;
}

const engine_traits* placement::engine_of(const base::upstream_id& upstream) const {
    const auto entry = entries_.find(upstream);
    return entry == entries_.end() || !catalogue_ ? nullptr : catalogue_->engine(entry->second.pool);
}

std::vector<decision::upstream_work>
placement::work_with_cached_parts(const std::set<base::vm_id>* without) const {
    std::vector<decision::upstream_work> report;
    for (const auto& [id, state] : states_) {
        const engine_traits* const engine = engine_of(id);
        if (engine == nullptr) {
            continue;
        }
        decision::upstream_work work = without == nullptr ? to_message(id, state.own, own_stored(state))
                                                          : work_excluding(id, state, *without);
        for (const part_id part :
             state.cache.recent_parts(cache_capacity(state, *engine), max_cached_parts)) {
            work.prompt_parts.push_back(part.value());
        }
        report.push_back(std::move(work));
    }
    return report;
}

void placement::expire_parts() {
    for (auto& [id, state] : states_) {
        if (const engine_traits* const engine = engine_of(id)) {
            state.cache.expire(engine->memory * 2);
        }
    }
}

std::vector<decision::upstream_work> placement::own_work(base::time_point now) {
    std::vector<decision::upstream_work> report;
    std::set<base::upstream_id> with_running;
    unreported_tokens_ = {};
    const bool refresh = now >= next_part_refresh_;
    if (refresh) {
        next_part_refresh_ = now + part_refresh_interval;
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
        report.push_back(to_message(id, state.own, own_stored(state)));
        report.back().prompt_parts = std::exchange(state.unreported_parts, {});
        if (state.own.running > 0) {
            with_running.insert(id);
        }
    }
    last_reported_ = std::move(with_running);
    return report;
}

std::size_t placement::ready_count(const base::pool_id& pool) const {
    const auto found = ready_.find(pool);
    return found == ready_.end() ? 0 : found->second.size();
}

bool placement::evacuated(const base::pool_id& pool) const {
    return withheld_.count(pool) != 0 && ready_count(pool) == 0;
}

double placement::usable_engine_share() const {
    double withheld = 0;
    double usable = 0;
    for (const auto& [pool, entries] : withheld_) {
        for (const upstream_entry* const entry : entries) {
            withheld += engine_of(entry->id) != nullptr ? static_cast<double>(entry->slots.value()) : 0;
        }
    }
    for (const auto& [pool, ready] : ready_) {
        for (const candidate& usable_engine : ready) {
            const bool engine = engine_of(usable_engine.entry->id) != nullptr;
            usable += engine ? static_cast<double>(usable_engine.entry->slots.value()) : 0;
        }
    }
    return withheld > 0 ? usable / (usable + withheld) : 1;
}

std::optional<pool_pause> placement::pause_of(const base::pool_id& pool, base::time_point now) const {
    const auto found = ready_.find(pool);
    if (found == ready_.end()) {
        return std::nullopt;
    }
    base::time_point earliest = base::time_point::max();
    bool stated = false;
    for (const candidate& ready_upstream : found->second) {
        earliest = std::min(earliest, ready_upstream.state->available_at());
        stated = stated || ready_upstream.state->down_until <= now;
    }
    if (earliest <= now) {
        return std::nullopt;
    }
    return pool_pause{earliest - now, stated};
}

double placement::engine_occupancy() const {
    double running = 0;
    double slots = 0;
    for (const auto& [pool, ready] : ready_) {
        if (!catalogue_ || catalogue_->engine(pool) == nullptr) {
            continue;
        }
        for (const candidate& ready_engine : ready) {
            if (cold(ready_engine.entry->id)) {
                continue;
            }
            running += static_cast<double>(ready_engine.state->total().running);
            slots += static_cast<double>(ready_engine.entry->slots.value());
        }
    }
    return slots > 0 ? running / slots : 0;
}

double placement::engine_load() const {
    double sum = 0;
    double engines = 0;
    bool any_cold = false;
    for (const auto& [pool, ready] : ready_) {
        const auto model = models_.find(pool);
        if (!catalogue_ || catalogue_->engine(pool) == nullptr || model == models_.end()) {
            continue;
        }
        const bool paced = states_pace(pool);
        for (const candidate& ready_engine : ready) {
            if (cold(ready_engine.entry->id)) {
                any_cold = true;
                continue;
            }
            const upstream_pace& pace = ready_engine.state->pace;
            const double duration_factor = paced ? pace.duration_factor(updated_at_) : 1;
            const double capacity_factor = paced ? pace.capacity_factor(updated_at_) : 1;
            const placed_work work = ready_engine.state->total();
            const double slots = static_cast<double>(ready_engine.entry->slots.value()) * capacity_factor;
            const double by_slots = slots > 0 ? static_cast<double>(work.running) / slots : 0;
            const double by_reading =
                std::chrono::duration<double>(model->second.predict(work.pending_tokens)) * duration_factor /
                std::chrono::duration<double>(full_prefill_time);
            sum += std::min(1.0, std::max(by_slots, by_reading)) / duration_factor;
            engines += 1 / duration_factor;
        }
    }
    if (engines == 0) {
        return any_cold ? 1 : 0;
    }
    return sum / engines;
}

/// Chooses an engine by rendezvous hashing of the last shared part of the prompt, so that all routers choose
/// the same one. The last part of a prompt belongs to the request alone; the one before it may be shared.
const placement::candidate* placement::preferred_engine(const placement_request& request) const {
    const auto found = ready_.find(request.pool);
    if (request.prompt == nullptr || request.prompt->parts.size() < 2 || found == ready_.end()) {
        return nullptr;
    }
    const std::uint64_t shared = request.prompt->parts[request.prompt->parts.size() - 2].id.value();
    const candidate* best = nullptr;
    std::uint64_t best_score = 0;
    for (const candidate& ready_engine : found->second) {
        const std::uint64_t score = base::stable_hash(ready_engine.entry->id.value(), shared);
        if (best == nullptr || score > best_score) {
            best = &ready_engine;
            best_score = score;
        }
    }
    return best;
}

/// Cost of a delay: less than its length up to the latency target, more than its length beyond.
base::duration placement::latency_cost(base::duration delay, base::duration latency_target) {
    const base::duration early_part = std::min(delay, latency_target);
    return std::chrono::duration_cast<base::duration>(early_part * early_delay_weight +
                                                      (delay - early_part) * late_delay_weight);
}

token_count placement::cache_capacity(const upstream_state& state, const engine_traits& engine) {
    const double memory = static_cast<double>(engine.memory.value());
    const double running = static_cast<double>(state.total().memory_tokens.value());
    return token_count(static_cast<std::int64_t>(std::max(0.0, memory - running)));
}

/// Expected number of tokens at the start of the prompt that the engine has cached.
token_count placement::expected_cached_tokens(const placement_request& request, const upstream_state& state,
                                              const engine_traits& engine) {
    const token_count capacity = cache_capacity(state, engine);
    double sum = 0;
    double hit_probability = 1;
    for (const prompt_part& part : request.prompt->parts) {
        // A cached part is useful only together with all parts before it.
        hit_probability = std::min(hit_probability, state.cache.hit_probability(part.id, capacity));
        sum += hit_probability * static_cast<double>(part.tokens.value());
    }
    return token_count(static_cast<std::int64_t>(sum));
}

placement::cache_holders placement::find_cache_holders(const placement_request& request,
                                                       const engine_traits& engine,
                                                       const std::vector<candidate>& ready,
                                                       base::time_point now) {
    cache_holders holders;
    const bool can_copy = engine.copied_tokens_per_ms > 0;
    holders.cached_tokens.reserve(ready.size());
    for (const candidate& ready_engine : ready) {
        const token_count cached_tokens = expected_cached_tokens(request, *ready_engine.state, engine);
        holders.cached_tokens.push_back(cached_tokens);
        if (!can_copy || now < ready_engine.state->available_at() ||
            ready_engine.state->failure_rate > max_copy_source_failure_rate) {
            continue;
        }
        if (cached_tokens > holders.best_tokens) {
            holders.second_best = std::exchange(holders.best, &ready_engine);
            holders.second_best_tokens = std::exchange(holders.best_tokens, cached_tokens);
        } else if (cached_tokens > holders.second_best_tokens) {
            holders.second_best = &ready_engine;
            holders.second_best_tokens = cached_tokens;
        }
    }
    return holders;
}

/// Fills in the predictions of `choice` for an engine and returns its cost.
base::duration placement::estimate_cost(const placement_request& request, const candidate& target,
                                        bool preferred, const engine_traits& engine,
                                        const prefill_model& model, const cache_holders& holders,
                                        token_count cached_tokens, double slowness,
                                        placement_choice& choice) {
    const upstream_state& state = *target.state;
    const token_count last_part_tokens =
        request.prompt->parts.empty() ? token_count() : request.prompt->parts.back().tokens;
    const token_count shared_tokens =
        std::max(request.prompt->prompt_tokens - last_part_tokens, token_count());
    const candidate* const copy_source = holders.best == &target ? holders.second_best : holders.best;
    const token_count copied_tokens =
        (holders.best == &target ? holders.second_best_tokens : holders.best_tokens) - cached_tokens;
    token_count available_tokens = cached_tokens;
    base::duration copy_time{};
    if (copy_source != nullptr && copied_tokens >= min_copy_tokens) {
        choice.copy_source = copy_source->entry->id;
        choice.copied_tokens = copied_tokens;
        available_tokens += copied_tokens;
        const double ms = static_cast<double>(copied_tokens.value()) / engine.copied_tokens_per_ms;
        copy_time = copy_setup_time + base::duration(static_cast<base::duration::rep>(ms * ns_per_ms));
    }
    choice.uncached_tokens = std::max(request.prompt->prompt_tokens - available_tokens, token_count(1));
    choice.tokens_ahead = state.total().pending_tokens;
    choice.first_event_delay =
        copy_time + std::chrono::duration_cast<base::duration>(
                        model.predict(choice.tokens_ahead + choice.uncached_tokens) * slowness);
    choice.queueing_delay = choice.first_event_delay - std::chrono::duration_cast<base::duration>(
                                                           model.predict(choice.uncached_tokens) * slowness);
    const double reread_tokens =
        static_cast<double>(std::max(shared_tokens - available_tokens, token_count()).value());
    choice.cache_miss =
        reread_tokens > cache_miss_share * static_cast<double>(request.prompt->prompt_tokens.value());
    const double weight = (request.cache_miss_weight - 1) * (preferred ? preferred_engine_weight : 1);
    const base::duration penalty(
        static_cast<base::duration::rep>(reread_tokens / model.tokens_per_ms() * weight * ns_per_ms));
    return latency_cost(choice.first_event_delay, request.latency_target) + penalty + copy_time;
}

base::duration placement::max_pause_of(const base::pool_id& pool) const {
    const auto found = max_pauses_.find(pool);
    return found == max_pauses_.end() ? base::duration::zero() : found->second;
}

prefill_state placement::prefill_at(const upstream_state& state, const placement_choice& choice,
                                    const prefill_model& model, double slowness) {
    const auto reading_time = [&](token_count tokens) {
        const double ms = static_cast<double>(tokens.value()) / model.tokens_per_ms() * slowness;
        return base::duration(static_cast<base::duration::rep>(ms * ns_per_ms));
    };
    return {state.total().running, reading_time(choice.tokens_ahead), reading_time(choice.uncached_tokens)};
}

bool placement::has_capacity(const upstream_entry& entry, const upstream_state& state,
                             const engine_traits* engine, token_count memory_tokens, double capacity_share,
                             double capacity_factor) {
    const placed_work total = state.total();
    const double slots = static_cast<double>(entry.slots.value()) * capacity_factor;
    if (engine == nullptr) {
        return static_cast<double>(total.running) < slots * plain_requests_per_slot;
    }
    const double margin = std::min(max_slot_margin, slots * max_slot_margin_share);
    if (total.running > 0 && static_cast<double>(total.running) >= (slots - margin) * capacity_share) {
        return false;
    }
    const double memory = static_cast<double>(engine->memory.value()) * capacity_share * capacity_factor;
    if (memory <= 0 || total.running == 0) {
        return true;
    }
    const double used = static_cast<double>(total.memory_tokens.value());
    const double needed = static_cast<double>(memory_tokens.value());
    const double target = memory * target_memory_share;
    return used + std::min(needed, target * required_room_share) <= target &&
           used + needed <= memory * max_memory_share;
}

double placement::mean_load(const std::vector<candidate>& ready) {
    double requests = 0;
    double slots = 0;
    for (const candidate& upstream : ready) {
        requests += static_cast<double>(upstream.state->total().running);
        slots += static_cast<double>(upstream.entry->slots.value());
    }
    return slots > 0 ? requests / slots : 0;
}

/// The sum of the reports of one upstream is older than its queue lasts, and all routers that act on it
/// choose the same upstream. So an upstream without a recent figure is expected to be as loaded as the mean
/// of its pool.
double placement::expected_requests(const upstream_entry& entry, const upstream_state& state,
                                    double mean_load, base::time_point now) {
    const double usual = mean_load * static_cast<double>(entry.slots.value());
    if (!state.stated) {
        return std::max(usual, static_cast<double>(state.own.running));
    }
    const double age = std::chrono::duration<double>(now - state.stated->stated_at) /
                       std::chrono::duration<double>(stated_requests_time);
    const double weight = std::clamp(1 - age, 0.0, 1.0);
    const double stated =
        static_cast<double>(state.stated->count) + static_cast<double>(state.stated->sent_since);
    return std::max(weight * stated + (1 - weight) * usual, static_cast<double>(state.own.running));
}

std::vector<placement::candidate> placement::with_version(const std::vector<candidate>& upstreams,
                                                          const base::software_version& version) {
    std::vector<candidate> matching;
    std::copy_if(upstreams.begin(), upstreams.end(), std::back_inserter(matching),
                 [&](const candidate& upstream) { return upstream.entry->version == version; });
    return matching;
}

bool placement::serves(const base::pool_id& pool, const base::software_version& version) const {
    const auto found = ready_.find(pool);
    return found != ready_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const candidate& upstream) { return upstream.entry->version == version; });
}

placement_options placement::consider(const placement_request& request, base::time_point now) {
    const auto found = ready_.find(request.pool);
    if (found == ready_.end() || !catalogue_) {
        return {};
    }
    const engine_traits* const engine = catalogue_->engine(request.pool);
    const std::vector<candidate> same_version =
        request.version == nullptr ? std::vector<candidate>() : with_version(found->second, *request.version);
    const std::vector<candidate>& ready = request.version == nullptr ? found->second : same_version;
    if (ready.empty()) {
        return {};
    }
    const candidate* const preferred = engine != nullptr ? preferred_engine(request) : nullptr;
    const cache_holders holders =
        engine != nullptr ? find_cache_holders(request, *engine, ready, now) : cache_holders{};
    const prefill_model& model = models_[request.pool];
    std::uniform_int_distribution<base::duration::rep> jitter(0, cost_jitter.count());
    const std::size_t sample_start = std::uniform_int_distribution<std::size_t>(0, ready.size() - 1)(random_);
    const bool adaptive = capacity_varies(request.pool);
    const std::vector<bool> permitted = permitted_upstreams(request, ready, holders);
    const base::duration max_pause = adaptive ? max_pause_of(request.pool) : base::duration::zero();
    // The upstreams that the request may go to by its share are sampled apart from the others.
    const std::size_t permitted_count =
        permitted.empty() ? ready.size()
                          : static_cast<std::size_t>(std::count(permitted.begin(), permitted.end(), true));
    std::size_t seen_permitted = 0;
    least_cost_choice anywhere;
    least_cost_choice best;
    least_cost_choice without_limits;
    least_cost_choice without_statements;
    bool reachable = false;
    const bool paced = states_pace(request.pool);
    const double load_of_pool = paced && engine == nullptr ? mean_load(ready) : 0;
    for (std::size_t i = 0; i < ready.size(); ++i) {
        const upstream_entry& entry = *ready[i].entry;
        const upstream_state& state = *ready[i].state;
        const bool by_share = permitted.empty() || permitted[i];
        const std::size_t group_size = by_share ? permitted_count : ready.size() - permitted_count;
        const std::size_t position = by_share ? seen_permitted++ : i - seen_permitted;
        if ((request.excluded != nullptr && request.excluded->count(entry.id) != 0) ||
            now < state.down_until) {
            continue;
        }
        reachable = true;
        const bool paused = now < state.paused_until;
        const bool limited =
            !limits_.may_send(entry.id, now) ||
            (warmup_ != nullptr && !warmup_->may_send(entry.id, request.upstream_requests, now));
        if (engine == nullptr && !paced &&
            !has_capacity(entry, state, engine, request.memory_tokens, request.capacity_share, 1)) {
            continue;
        }
        const bool is_holder = &ready[i] == holders.best || &ready[i] == holders.second_best;
        if (request.sample_size > 0 && !is_holder &&
            (position + group_size - sample_start % group_size) % group_size >= request.sample_size) {
            continue;
        }
        placement_choice choice;
        choice.upstream = entry.id;
        base::duration cost{};
        if (engine != nullptr) {
            const bool is_preferred = preferred != nullptr && preferred->entry == &entry;
            const double slowness = paced ? state.pace.duration_factor(now) : state.slowness;
            cost = estimate_cost(request, ready[i], is_preferred, *engine, model, holders,
                                 holders.cached_tokens[i], slowness, choice);
            choice.full = !has_capacity(
                entry, state, engine, request.memory_tokens,
                choice.cache_miss ? std::min(request.capacity_share, request.cache_miss_capacity_share)
                                  : request.capacity_share,
                paced ? state.pace.capacity_factor(now) : 1);
            choice.full =
                choice.full || delays_streams(prefill_at(state, choice, model, slowness), max_pause);
        } else if (paced) {
            const double slots = std::max(1.0, static_cast<double>(entry.slots.value()));
            const double ahead = expected_requests(entry, state, load_of_pool, now);
            choice.pace_factor = state.pace.duration_factor(now);
            choice.first_event_delay = std::chrono::duration_cast<base::duration>(
                service_times_[request.pool].expected() * ((ahead / slots + 1) * *choice.pace_factor));
            // A request that finds a free slot is sent in any case: without answers, an estimate that is too
            // high would never be corrected.
            if (ahead >= slots * plain_requests_per_slot ||
                (ahead >= slots && choice.first_event_delay > request.latest_answer)) {
                continue;
            }
            choice.queueing_delay = choice.first_event_delay;
            cost = choice.first_event_delay;
        } else {
            const double load = static_cast<double>(state.total().running) /
                                std::max(1.0, static_cast<double>(entry.slots.value()));
            choice.first_event_delay =
                std::chrono::duration_cast<base::duration>(plain_request_time * (load * state.slowness));
            choice.queueing_delay = choice.first_event_delay;
            cost = choice.first_event_delay;
        }
        cost += std::chrono::duration_cast<base::duration>(failure_penalty * state.failure_rate) +
                remote_cost(request, entry, adaptive) + base::duration(jitter(random_));
        if (adaptive) {
            choice.first_event_delay += crossing_.extra_round_trip(entry.data_centre);
        }
        if (choice.full) {
            cost += full_engine_penalty;
        }
        without_statements.offer(choice, cost);
        if (!paused) {
            without_limits.offer(choice, cost);
        }
        if (!paused && !limited && adaptive) {
            anywhere.offer(choice, cost);
        }
        if (!paused && !limited && by_share) {
            best.offer(choice, cost);
        }
    }
    const std::optional<placement_choice> unrestricted = anywhere.unless_full();
    const std::optional<placement_choice> chosen = best.unless_full();
    return {chosen ? chosen : unrestricted, unrestricted, without_limits.unless_full(),
            without_statements.unless_full(), reachable};
}

void placement::record_sent(const placement_choice& choice, const placed_work& work,
                            const prompt_info& prompt) {
    limits_.record_sent(choice.upstream);
    const auto entry = entries_.find(choice.upstream);
    if (entry != entries_.end()) {
        crossing_.record_sent(entry->second.pool, entry->second.data_centre);
    }
    upstream_state& state = states_[choice.upstream];
    state.own += work;
    if (state.stated) {
        ++state.stated->sent_since;
    }
    unreported_tokens_ += work.pending_tokens;
    // The tokens of the answer are counted at once, since the engine allocates memory while the answer grows.
    const token_count stored_tokens =
        work.memory_tokens - prompt.prompt_tokens + work.pending_tokens + choice.copied_tokens;
    state.stored_tokens += stored_tokens;
    state.cache.add_stored(stored_tokens);
    for (std::size_t i = 0; i < prompt.parts.size(); ++i) {
        state.cache.touch(prompt.parts[i].id);
        if (i + 1 < prompt.parts.size()) {
            state.unreported_parts.push_back(prompt.parts[i].id.value());
            ++state.in_use[prompt.parts[i].id];
        }
    }
}

void placement::record_first_event(const base::upstream_id& upstream, const base::pool_id& pool,
                                   token_count pending, token_count tokens_ahead, base::duration elapsed,
                                   base::time_point now) {
    upstream_state& state = states_[upstream];
    state.own.pending_tokens = std::max(state.own.pending_tokens - pending, token_count());
    prefill_model& model = models_[pool];
    const base::duration predicted = model.predict(tokens_ahead + pending);
    const double ratio =
        static_cast<double>(elapsed.count()) / std::max(1.0, static_cast<double>(predicted.count()));
    state.slowness =
        std::clamp(state.slowness + slowness_gain * (ratio - state.slowness), min_slowness, max_slowness);
    state.pace.record_observed(ratio, now);
    model.observe(tokens_ahead + pending, elapsed);
}

void placement::record_load(const base::upstream_id& upstream, const load_report& load,
                            base::time_point now) {
    const auto state = states_.find(upstream);
    const auto entry = entries_.find(upstream);
    if (state == states_.end() || entry == entries_.end()) {
        return;
    }
    state->second.stated = stated_requests{
        static_cast<std::uint32_t>(std::min(std::uint64_t{load.running} + load.waiting, max_stated_requests)),
        0, now};
    if (load.pace) {
        state->second.pace.record_stated(*load.pace, now);
        paced_pools_.insert(entry->second.pool);
    }
}

void placement::record_answer(const base::upstream_id& upstream, const base::pool_id& pool,
                              base::duration predicted, std::optional<double> pace_factor,
                              base::duration elapsed, base::time_point now) {
    const auto state = states_.find(upstream);
    if (state == states_.end() || !pace_factor || predicted <= base::duration::zero()) {
        return;
    }
    const double ratio = static_cast<double>(elapsed.count()) / static_cast<double>(predicted.count());
    // The prediction contains the pace at the time of sending, and the observation must not.
    state->second.pace.record_observed(ratio * *pace_factor, now);
    service_times_[pool].observe(ratio);
}

void placement::record_finished(const base::upstream_id& upstream, const placed_work& work,
                                const prompt_info& prompt) {
    const auto found = states_.find(upstream);
    if (found == states_.end()) {
        return;
    }
    upstream_state& state = found->second;
    // An engine evicts no part that a running request uses, so the part ages from the end of the request.
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
    avoid(upstream, std::min(min_connect_pause * (1U << doublings), max_connect_pause), now);
}

void placement::avoid(const base::upstream_id& upstream, base::duration time, base::time_point now) {
    upstream_state& state = states_[upstream];
    state.down_until = std::max(state.down_until, now + time);
}

void placement::pause(const base::upstream_id& upstream, base::duration time, base::time_point now) {
    upstream_state& state = states_[upstream];
    state.paused_until = std::max(state.paused_until, now + time);
}

std::uint32_t placement::connection_limit(const base::pool_id& pool, std::size_t routers) const {
    const dispatch::pool* const found_pool = catalogue_ ? catalogue_->find(pool) : nullptr;
    const double usable_connections =
        found_pool == nullptr ? 0
                              : static_cast<double>(found_pool->max_connections) * usable_connection_share;
    const double equal_share = 1 / static_cast<double>(std::max<std::size_t>(routers, 1));
    return std::max(
        min_connections_per_router,
        static_cast<std::uint32_t>(usable_connections * std::max(equal_share, max_router_connection_share)));
}

} // namespace bluebell::dispatch
