#include "bench/fleet.h"

#include <algorithm>
#include <limits>

namespace bluebell::bench {
namespace {

using std::chrono::milliseconds;

constexpr int account_count = 16;
constexpr base::duration failure_detection_time = std::chrono::seconds(2);
constexpr base::duration resend_delay = std::chrono::seconds(1);
/// The gap is sampled only after the queues have filled. Before that, an account may hold every slot that
/// others leave free.
constexpr base::duration warm_up = std::chrono::seconds(15);
constexpr base::duration sample_interval = milliseconds(50);
constexpr base::duration progress_interval = milliseconds(100);
constexpr base::duration load_interval = milliseconds(500);
/// Largest random addition to the delay of a message, as a fraction of the one-way delay.
constexpr double jitter = 0.2;
constexpr std::size_t field_bytes = 8;
constexpr std::size_t packet_header_bytes = 28;
constexpr std::size_t variant_bytes = 4;
/// Index of `bid` among the message types; the types before it belong to membership.
constexpr std::size_t first_counted_type = 3;

const base::pool_id& pool_name() {
    static const base::pool_id name("text");
    return name;
}

base::vm_id vm_name(int index) {
    return base::vm_id("entry-" + std::to_string(index));
}

base::upstream_id worker_name(int index) {
    return base::upstream_id("worker-" + std::to_string(index));
}

double seconds(base::duration length) {
    return std::chrono::duration<double>(length).count();
}

base::duration from_seconds(double length) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(length));
}

std::size_t text_bytes(const std::string& value) {
    return field_bytes + value.size();
}

struct message_body_size {
    std::size_t operator()(const decision::bid& body) const {
        std::size_t size = text_bytes(body.pool.value()) + text_bytes(body.account.value()) +
                           6 * field_bytes + (body.next_keys.size() + 1) * field_bytes;
        for (const decision::held_grant& held : body.held) {
            size += field_bytes + text_bytes(held.upstream.value());
        }
        return size;
    }
    std::size_t operator()(const decision::grant& body) const {
        return 2 * field_bytes + 1 + text_bytes(body.pool.value()) + text_bytes(body.upstream.value());
    }
    std::size_t operator()(const decision::release& body) const {
        return field_bytes + text_bytes(body.pool.value()) + text_bytes(body.upstream.value()) + 1;
    }
    std::size_t operator()(const decision::usage& body) const {
        std::size_t size = field_bytes;
        for (const decision::usage_entry& entry : body.entries) {
            size += text_bytes(entry.pool.value()) + text_bytes(entry.account.value()) + 3 * field_bytes + 1;
        }
        return size;
    }
    std::size_t operator()(const decision::usage_total& body) const {
        std::size_t size = field_bytes;
        for (const decision::usage_total_entry& entry : body.entries) {
            size += text_bytes(entry.pool.value()) + text_bytes(entry.account.value()) + 2 * field_bytes + 2;
        }
        return size;
    }
    template <typename Other>
    std::size_t operator()(const Other&) const {
        return 0;
    }
};

double uniform(std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

double percentile(std::vector<double>& values, double part) {
    if (values.empty()) {
        return 0;
    }
    const auto at = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

} // namespace

std::size_t estimated_bytes(const decision::message& body, std::size_t header_pools) {
    const std::size_t header = packet_header_bytes + variant_bytes + 8 * field_bytes +
                               header_pools * (text_bytes(pool_name().value()) + field_bytes);
    return header + std::visit(message_body_size{}, body);
}

/// One router with its schedule and, for independent routers, its own view of the load.
struct fleet::router final : decision::start_gate {
    router(fleet& simulated_fleet, int number, std::uint64_t number_of_start)
        : self(vm_name(number)), incarnation(number_of_start),
          decisions(self, base::incarnation(number_of_start), decision::schedule_options{}, *this),
          owner(simulated_fleet), load(simulated_fleet.workers_.size(), 0) {}

    [[nodiscard]] bool can_start(const base::upstream_id& upstream) const override {
        if (owner.mode_ != mode::independent) {
            return true;
        }
        const int lowest = *std::min_element(load.begin(), load.end());
        for (std::size_t i = 0; i < load.size(); ++i) {
            if (worker_name(static_cast<int>(i)) == upstream) {
                return load[i] == lowest && lowest < owner.deployment_.slots;
            }
        }
        return false;
    }

    base::vm_id self;
    std::uint64_t incarnation;
    decision::schedule decisions;
    fleet& owner;
    std::vector<int> load;
    std::uint64_t sequence = 0;
    bool up = true;
    bool pumping = false;
};

fleet::~fleet() = default;

fleet::fleet(deployment size, scenario load, mode dispatch_mode, std::uint64_t seed)
    : deployment_(std::move(size)), scenario_(std::move(load)), mode_(dispatch_mode), delay_random_(seed),
      start_(clock_.now()), config_(std::make_shared<decision::fleet_config>()), weights_(account_count, 1.0),
      served_(account_count, 0), waiting_(account_count, 0), accounted_until_(start_),
      difference_ranges_(account_count, std::vector<std::array<double, 2>>(
                                            account_count, {std::numeric_limits<double>::max(),
                                                            std::numeric_limits<double>::lowest()})) {
    if (scenario_.service) {
        // A plain service is measured in milliseconds of execution.
        deployment_.workers = 3;
        deployment_.slot_rate = 1000;
        deployment_.mean_cost = 200;
    }
    if (mode_ == mode::central) {
        deployment_.routers = 1;
    }
    for (int i = 0; i < account_count; ++i) {
        load_random_.emplace_back(seed * account_count + static_cast<std::uint64_t>(i));
    }
    weights_[0] = weights_[1] = 4;
    weights_[2] = weights_[3] = 2;
    workers_.resize(static_cast<std::size_t>(deployment_.workers));
    config_->revision = base::revision(1);
    config_->pools[pool_name()] =
        decision::pool{pool_name(), decision::pool_kind::model, base::cost(deployment_.mean_cost)};
    for (int i = 0; i < account_count; ++i) {
        const base::client_account_id id("account-" + std::to_string(i));
        config_->accounts[id] =
            decision::client_account{id, base::weight(weights_[static_cast<std::size_t>(i)])};
    }
    for (int i = 0; i < deployment_.workers; ++i) {
        decision::upstream item;
        item.id = worker_name(i);
        item.pool = pool_name();
        item.slots = base::slot_count(deployment_.slots);
        config_->upstreams[item.id] = item;
    }
    for (int i = 0; i < deployment_.routers; ++i) {
        routers_.push_back(nullptr);
        start_router(i);
    }
}

void fleet::call_after(base::duration delay, std::function<void()> call) {
    events_.push(timed_call{clock_.now() + delay, ++last_call_number_, std::move(call)});
}

void fleet::start_router(int index) {
    auto& slot = routers_[static_cast<std::size_t>(index)];
    slot = std::make_unique<router>(*this, index, ++last_incarnation_);
    decision::schedule_members members;
    members.live = {slot->self};
    members.listed_count = mode_ == mode::shared ? static_cast<std::size_t>(deployment_.routers) : 1;
    if (mode_ == mode::shared) {
        members.live.clear();
        for (int i = 0; i < deployment_.routers; ++i) {
            members.live.push_back(vm_name(i));
        }
    }
    slot->decisions.set_members(members, clock_.now());
    slot->decisions.configure(config_, clock_.now());
}

void fleet::schedule_arrival(int account) {
    const double time = seconds(clock_.now() - start_);
    double weight_sum = 0;
    for (const double weight : weights_) {
        weight_sum += weight;
    }
    const double capacity =
        deployment_.slot_rate * deployment_.slots * deployment_.workers / deployment_.mean_cost;
    const double rate = capacity * weights_[static_cast<std::size_t>(account)] / weight_sum *
                        scenario_.offered(account, time);
    std::mt19937_64& random = load_random_[static_cast<std::size_t>(account)];
    if (rate <= 0) {
        call_after(milliseconds(100), [=] { schedule_arrival(account); });
        return;
    }
    call_after(from_seconds(std::exponential_distribution<double>(rate)(random)), [=, &random] {
        request_state state;
        state.account = account;
        state.cost =
            deployment_.mean_cost * std::clamp(std::exponential_distribution<double>(1)(random), 0.1, 4.0);
        state.request.id = base::request_id(base::uint128{1, ++next_id_});
        state.request.account = base::client_account_id("account-" + std::to_string(account));
        state.request.pool = pool_name();
        const double draw = uniform(random);
        state.request.priority = scenario_.uniform ? decision::request_class::ordinary
                                 : draw < 0.15     ? decision::request_class::urgent
                                 : draw < 0.7      ? decision::request_class::ordinary
                                                   : decision::request_class::patient;
        // Honest hints differ from the cost by a factor of at most two.
        const double error = std::exp2(scenario_.uniform ? 0 : 2 * uniform(random) - 1);
        state.request.hint = base::cost(account == scenario_.false_hint_account ? 1 : state.cost * error);
        state.request.body_size = base::byte_count(2000);
        const double place = uniform(random);
        state.router_index =
            mode_ == mode::central ? 0 : scenario_.place(account, place, deployment_.routers);
        submit(state);
        schedule_arrival(account);
    });
}

void fleet::submit(request_state state) {
    while (!routers_[static_cast<std::size_t>(state.router_index)]->up) {
        state.router_index = (state.router_index + 1) % deployment_.routers;
    }
    state.request.arrived = clock_.now();
    state.request.deadline = clock_.now() + std::chrono::hours(1);
    router& at = *routers_[static_cast<std::size_t>(state.router_index)];
    ++waiting_[static_cast<std::size_t>(state.account)];
    ++waiting_total_;
    requests_[state.request.id] = state;
    if (!at.decisions.enqueue(state.request, clock_.now())) {
        --waiting_[static_cast<std::size_t>(state.account)];
        --waiting_total_;
        requests_.erase(state.request.id);
    }
    process_output(state.router_index);
}

void fleet::process_output(int index) {
    router& at = *routers_[static_cast<std::size_t>(index)];
    decision::schedule_output output = at.decisions.take_output();
    for (const decision::started_request& item : output.started) {
        start_on_worker(item.attributes.id, std::stoi(item.target.value().substr(7)));
    }
    for (decision::outgoing& item : output.messages) {
        send(index, std::move(item));
    }
}

void fleet::send(int from, decision::outgoing&& message) {
    router& at = *routers_[static_cast<std::size_t>(from)];
    decision::message_header header;
    header.sender = at.self;
    header.incarnation = base::incarnation(at.incarnation);
    header.sequence = ++at.sequence;
    header.virtual_times = at.decisions.virtual_times();
    const auto bytes = static_cast<double>(estimated_bytes(message.body, header.virtual_times.size()));
    bytes_ += bytes;
    result_.bytes_by_type[std::min<std::size_t>(message.body.index() - first_counted_type, 4)] += bytes;
    ++messages_;
    const int to = std::stoi(message.to.value().substr(6));
    const base::duration delay =
        from_seconds(seconds(deployment_.delay) * (1 + jitter * uniform(delay_random_)));
    call_after(delay, [this, to, header, body = std::move(message.body)] {
        router& receiver = *routers_[static_cast<std::size_t>(to)];
        if (!receiver.up) {
            return;
        }
        receiver.decisions.merge_virtual_times(header.virtual_times);
        std::visit(
            [&](const auto& typed) {
                using type = std::decay_t<decltype(typed)>;
                if constexpr (std::is_same_v<type, decision::bid> || std::is_same_v<type, decision::grant> ||
                              std::is_same_v<type, decision::release> ||
                              std::is_same_v<type, decision::usage> ||
                              std::is_same_v<type, decision::usage_total>) {
                    receiver.decisions.receive(header, typed, clock_.now());
                }
            },
            body);
        process_output(to);
    });
}

void fleet::start_on_worker(const base::request_id& id, int index) {
    request_state& entry = requests_.at(id);
    --waiting_[static_cast<std::size_t>(entry.account)];
    --waiting_total_;
    first_waits_ms_[static_cast<std::size_t>(entry.request.priority)].push_back(
        1000 * seconds(clock_.now() - entry.request.arrived));
    entry.worker_index = index;
    ++routers_[static_cast<std::size_t>(entry.router_index)]->load[static_cast<std::size_t>(index)];
    worker& target = workers_[static_cast<std::size_t>(index)];
    if (static_cast<int>(target.running.size()) >= deployment_.slots) {
        target.waiting.push_back(id);
        return;
    }
    entry.started = clock_.now();
    target.running.insert(id);
    ++running_total_;
    const std::uint64_t incarnation = routers_[static_cast<std::size_t>(entry.router_index)]->incarnation;
    call_after(from_seconds(entry.cost / deployment_.slot_rate), [=] { finish(id, incarnation); });
}

void fleet::finish(const base::request_id& id, std::uint64_t incarnation) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.worker_index < 0 ||
        routers_[static_cast<std::size_t>(found->second.router_index)]->incarnation != incarnation) {
        return;
    }
    const request_state entry = found->second;
    requests_.erase(found);
    served_[static_cast<std::size_t>(entry.account)] += entry.cost;
    worker& target = workers_[static_cast<std::size_t>(entry.worker_index)];
    target.running.erase(id);
    --running_total_;
    if (!target.waiting.empty()) {
        const base::request_id next = target.waiting.front();
        target.waiting.erase(target.waiting.begin());
        request_state& following = requests_.at(next);
        following.started = clock_.now();
        target.running.insert(next);
        ++running_total_;
        const std::uint64_t next_incarnation =
            routers_[static_cast<std::size_t>(following.router_index)]->incarnation;
        call_after(from_seconds(following.cost / deployment_.slot_rate),
                   [=] { finish(next, next_incarnation); });
    }
    router& at = *routers_[static_cast<std::size_t>(entry.router_index)];
    --at.load[static_cast<std::size_t>(entry.worker_index)];
    at.decisions.end(id, base::cost(entry.cost), clock_.now());
    process_output(entry.router_index);
}

void fleet::poll_load() {
    std::vector<int> load;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
        load.push_back(static_cast<int>(workers_[i].running.size() + workers_[i].waiting.size()));
    }
    const base::time_point read_at = clock_.now();
    call_after(deployment_.delay, [this, load, read_at] {
        for (int i = 0; i < deployment_.routers; ++i) {
            router& at = *routers_[static_cast<std::size_t>(i)];
            if (!at.up) {
                continue;
            }
            at.load = load;
            for (std::size_t k = 0; k < load.size(); ++k) {
                const decision::upstream_load report{static_cast<std::uint32_t>(load[k]), 0,
                                                     base::slot_count(deployment_.slots)};
                at.decisions.report_load(worker_name(static_cast<int>(k)), report, read_at, clock_.now());
            }
            at.decisions.tick(clock_.now());
            process_output(i);
        }
    });
    call_after(load_interval, [this] { poll_load(); });
}

double fleet::delivered(const request_state& entry) const {
    return entry.worker_index < 0 || entry.started == base::time_point{}
               ? 0
               : std::min(entry.cost, deployment_.slot_rate * seconds(clock_.now() - entry.started));
}

void fleet::report_progress() {
    for (const auto& [id, entry] : requests_) {
        if (entry.worker_index >= 0) {
            routers_[static_cast<std::size_t>(entry.router_index)]->decisions.progress(
                id, base::cost(delivered(entry)), clock_.now());
        }
    }
    call_after(progress_interval, [this] { report_progress(); });
}

void fleet::account_slot_time() {
    const double passed = seconds(clock_.now() - accounted_until_);
    accounted_until_ = clock_.now();
    if (waiting_total_ > 0) {
        busy_time_ += passed * running_total_;
        slot_time_ += passed * deployment_.slots * deployment_.workers;
    }
}

void fleet::sample_gap() {
    std::vector<double> service = served_;
    for (const auto& [id, entry] : requests_) {
        service[static_cast<std::size_t>(entry.account)] += delivered(entry);
    }
    for (std::size_t a = 0; a < service.size(); ++a) {
        for (std::size_t b = 0; b < a; ++b) {
            std::array<double, 2>& range = difference_ranges_[a][b];
            if (waiting_[a] == 0 || waiting_[b] == 0) {
                range = {std::numeric_limits<double>::max(), std::numeric_limits<double>::lowest()};
                continue;
            }
            const double difference = service[a] / weights_[a] - service[b] / weights_[b];
            range = {std::min(range[0], difference), std::max(range[1], difference)};
            result_.gap = std::max(result_.gap, range[1] - range[0]);
        }
    }
    call_after(sample_interval, [this] { sample_gap(); });
}

void fleet::fail_router(int index) {
    routers_[static_cast<std::size_t>(index)]->up = false;
    std::vector<request_state> lost;
    for (const auto& [id, entry] : requests_) {
        if (entry.router_index == index) {
            lost.push_back(entry);
        }
    }
    for (request_state& entry : lost) {
        if (entry.worker_index >= 0) {
            workers_[static_cast<std::size_t>(entry.worker_index)].running.erase(entry.request.id);
            --running_total_;
            served_[static_cast<std::size_t>(entry.account)] += delivered(entry);
        } else {
            --waiting_[static_cast<std::size_t>(entry.account)];
            --waiting_total_;
        }
        requests_.erase(entry.request.id);
        entry.worker_index = -1;
        entry.started = {};
        call_after(resend_delay, [this, entry] { submit(entry); });
    }
    call_after(failure_detection_time, [this] { update_members(); });
}

void fleet::update_members() {
    decision::schedule_members members;
    members.listed_count = static_cast<std::size_t>(deployment_.routers);
    for (int i = 0; i < deployment_.routers; ++i) {
        if (routers_[static_cast<std::size_t>(i)]->up) {
            members.live.push_back(vm_name(i));
        }
    }
    for (int i = 0; i < deployment_.routers; ++i) {
        if (routers_[static_cast<std::size_t>(i)]->up) {
            routers_[static_cast<std::size_t>(i)]->decisions.set_members(members, clock_.now());
            process_output(i);
        }
    }
}

figures fleet::run(base::duration length) {
    for (int i = 0; i < account_count; ++i) {
        schedule_arrival(i);
    }
    for (int i = 0; i < deployment_.routers; ++i) {
        const std::function<void()> tick = [this, i] {
            if (routers_[static_cast<std::size_t>(i)]->up) {
                routers_[static_cast<std::size_t>(i)]->decisions.tick(clock_.now());
                process_output(i);
            }
        };
        for (base::duration at = milliseconds(i); at < length; at += decision::schedule::tick_interval) {
            call_after(at, tick);
        }
    }
    poll_load();
    report_progress();
    call_after(warm_up, [this] { sample_gap(); });
    if (scenario_.lose_router && mode_ == mode::shared) {
        call_after(length / 3, [this] { fail_router(0); });
        call_after(2 * length / 3, [this] {
            start_router(0);
            update_members();
        });
    }
    const base::time_point end = start_ + length;
    while (!events_.empty() && events_.top().time < end) {
        const timed_call next = events_.top();
        events_.pop();
        clock_.advance(next.time - clock_.now());
        account_slot_time();
        next.call();
    }
    result_.busy = slot_time_ > 0 ? busy_time_ / slot_time_ : 0;
    for (std::size_t i = 0; i < first_waits_ms_.size(); ++i) {
        result_.wait_ms[i] = {percentile(first_waits_ms_[i], 0.5), percentile(first_waits_ms_[i], 0.95)};
    }
    for (const double cost : served_) {
        result_.work += cost / deployment_.mean_cost;
    }
    for (const auto& [id, entry] : requests_) {
        result_.work += delivered(entry) / deployment_.mean_cost;
    }
    const double node_seconds = seconds(length) * deployment_.routers;
    result_.bytes_per_node_second = bytes_ / node_seconds;
    for (double& bytes : result_.bytes_by_type) {
        bytes /= node_seconds;
    }
    result_.messages_per_node_second = messages_ / node_seconds;
    return result_;
}

} // namespace bluebell::bench
