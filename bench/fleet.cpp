#include "bench/fleet.h"

#include <algorithm>
#include <limits>

namespace bluebell::bench {
namespace {

using std::chrono::milliseconds;

constexpr int account_count = 16;
constexpr base::duration suspicion = std::chrono::seconds(2);
constexpr base::duration resend = std::chrono::seconds(1);
/// The gap is sampled after the queues filled; until then an account may hold every slot that others left
/// free.
constexpr base::duration warm_up = std::chrono::seconds(15);
constexpr base::duration sample_interval = milliseconds(50);
constexpr base::duration progress_interval = milliseconds(100);
constexpr base::duration load_interval = milliseconds(500);
/// Part of the one-way delay by which a single message varies.
constexpr double jitter = 0.2;
constexpr std::size_t field_bytes = 8;
constexpr std::size_t datagram_bytes = 28;
constexpr std::size_t variant_bytes = 4;
/// Position of `bid` among the messages; the types before it belong to membership.
constexpr std::size_t first_type = 3;

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

std::size_t text(const std::string& value) {
    return field_bytes + value.size();
}

struct size_of_body {
    std::size_t operator()(const decision::bid& body) const {
        std::size_t size = text(body.pool.value()) + text(body.account.value()) + 6 * field_bytes +
                           (body.next_keys.size() + 1) * field_bytes;
        for (const decision::held_grant& held : body.held) {
            size += field_bytes + text(held.upstream.value());
        }
        return size;
    }
    std::size_t operator()(const decision::grant& body) const {
        return 2 * field_bytes + 1 + text(body.pool.value()) + text(body.upstream.value());
    }
    std::size_t operator()(const decision::release& body) const {
        return field_bytes + text(body.pool.value()) + text(body.upstream.value()) + 1;
    }
    std::size_t operator()(const decision::usage& body) const {
        std::size_t size = field_bytes;
        for (const decision::usage_entry& entry : body.entries) {
            size += text(entry.pool.value()) + text(entry.account.value()) + 3 * field_bytes + 1;
        }
        return size;
    }
    std::size_t operator()(const decision::usage_total& body) const {
        std::size_t size = field_bytes;
        for (const decision::usage_total_entry& entry : body.entries) {
            size += text(entry.pool.value()) + text(entry.account.value()) + 2 * field_bytes + 2;
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
    const std::size_t header = datagram_bytes + variant_bytes + 8 * field_bytes +
                               header_pools * (text(pool_name().value()) + field_bytes);
    return header + std::visit(size_of_body{}, body);
}

/// One router with its schedule and, for independent routers, its own view of the load.
struct fleet::router final : decision::start_gate {
    router(fleet& of, int number, std::uint64_t life)
        : self(vm_name(number)), started(life),
          decisions(self, base::incarnation(life), decision::schedule_options{}, *this), owner(of),
          load(of.workers_.size(), 0) {}

    [[nodiscard]] bool can_start(const base::upstream_id& upstream) const override {
        if (owner.how_ != mode::independent) {
            return true;
        }
        const int lowest = *std::min_element(load.begin(), load.end());
        for (std::size_t i = 0; i < load.size(); ++i) {
            if (worker_name(static_cast<int>(i)) == upstream) {
                return load[i] == lowest && lowest < owner.where_.slots;
            }
        }
        return false;
    }

    base::vm_id self;
    std::uint64_t started;
    decision::schedule decisions;
    fleet& owner;
    std::vector<int> load;
    std::uint64_t sequence = 0;
    bool up = true;
    bool pumping = false;
};

fleet::~fleet() = default;

fleet::fleet(deployment where, scenario what, mode how, std::uint64_t seed)
    : where_(std::move(where)), what_(std::move(what)), how_(how), delays_(seed), start_(clock_.now()),
      config_(std::make_shared<decision::fleet_config>()), weights_(account_count, 1.0),
      served_(account_count, 0), waiting_(account_count, 0), counted_(start_),
      ranges_(account_count,
              std::vector<std::array<double, 2>>(account_count, {std::numeric_limits<double>::max(),
                                                                 std::numeric_limits<double>::lowest()})) {
    if (what_.service) {
        // A plain service is measured in milliseconds of execution.
        where_.workers = 3;
        where_.slot_rate = 1000;
        where_.mean_cost = 200;
    }
    if (how_ == mode::central) {
        where_.routers = 1;
    }
    for (int i = 0; i < account_count; ++i) {
        loads_.emplace_back(seed * account_count + static_cast<std::uint64_t>(i));
    }
    weights_[0] = weights_[1] = 4;
    weights_[2] = weights_[3] = 2;
    workers_.resize(static_cast<std::size_t>(where_.workers));
    config_->revision = base::revision(1);
    config_->pools[pool_name()] =
        decision::pool{pool_name(), decision::pool_kind::model, base::cost(where_.mean_cost)};
    for (int i = 0; i < account_count; ++i) {
        const base::client_account_id id("account-" + std::to_string(i));
        config_->accounts[id] =
            decision::client_account{id, base::weight(weights_[static_cast<std::size_t>(i)])};
    }
    for (int i = 0; i < where_.workers; ++i) {
        decision::upstream item;
        item.id = worker_name(i);
        item.pool = pool_name();
        item.slots = base::slot_count(where_.slots);
        config_->upstreams[item.id] = item;
    }
    for (int i = 0; i < where_.routers; ++i) {
        routers_.push_back(nullptr);
        start_router(i);
    }
}

void fleet::after(base::duration delay, std::function<void()> call) {
    events_.push(timed{clock_.now() + delay, ++order_, std::move(call)});
}

void fleet::start_router(int index) {
    auto& slot = routers_[static_cast<std::size_t>(index)];
    slot = std::make_unique<router>(*this, index, ++lives_);
    decision::schedule_members members;
    members.live = {slot->self};
    members.listed_count = how_ == mode::shared ? static_cast<std::size_t>(where_.routers) : 1;
    if (how_ == mode::shared) {
        members.live.clear();
        for (int i = 0; i < where_.routers; ++i) {
            members.live.push_back(vm_name(i));
        }
    }
    slot->decisions.set_members(members, clock_.now());
    slot->decisions.configure(config_, clock_.now());
}

void fleet::arrive_next(int account) {
    const double time = seconds(clock_.now() - start_);
    double weight_sum = 0;
    for (const double weight : weights_) {
        weight_sum += weight;
    }
    const double capacity = where_.slot_rate * where_.slots * where_.workers / where_.mean_cost;
    const double rate =
        capacity * weights_[static_cast<std::size_t>(account)] / weight_sum * what_.offered(account, time);
    std::mt19937_64& random = loads_[static_cast<std::size_t>(account)];
    if (rate <= 0) {
        after(milliseconds(100), [=] { arrive_next(account); });
        return;
    }
    after(from_seconds(std::exponential_distribution<double>(rate)(random)), [=, &random] {
        job added;
        added.account = account;
        added.cost =
            where_.mean_cost * std::clamp(std::exponential_distribution<double>(1)(random), 0.1, 4.0);
        added.what.id = base::request_id(base::uint128{1, ++next_id_});
        added.what.account = base::client_account_id("account-" + std::to_string(account));
        added.what.pool = pool_name();
        const double draw = uniform(random);
        added.what.priority = what_.uniform ? decision::request_class::ordinary
                              : draw < 0.15 ? decision::request_class::urgent
                              : draw < 0.7  ? decision::request_class::ordinary
                                            : decision::request_class::patient;
        // Honest hints are right within a factor of two either way.
        const double error = std::exp2(what_.uniform ? 0 : 2 * uniform(random) - 1);
        added.what.hint = base::cost(account == what_.false_hints ? 1 : added.cost * error);
        added.what.body_size = base::byte_count(2000);
        const double place = uniform(random);
        added.at = how_ == mode::central ? 0 : what_.place(account, place, where_.routers);
        submit(added);
        arrive_next(account);
    });
}

void fleet::submit(job added) {
    while (!routers_[static_cast<std::size_t>(added.at)]->up) {
        added.at = (added.at + 1) % where_.routers;
    }
    added.what.arrived = clock_.now();
    added.what.deadline = clock_.now() + std::chrono::hours(1);
    router& at = *routers_[static_cast<std::size_t>(added.at)];
    ++waiting_[static_cast<std::size_t>(added.account)];
    ++waiting_total_;
    jobs_[added.what.id] = added;
    if (!at.decisions.enqueue(added.what, clock_.now())) {
        --waiting_[static_cast<std::size_t>(added.account)];
        --waiting_total_;
        jobs_.erase(added.what.id);
    }
    pump(added.at);
}

void fleet::pump(int index) {
    router& at = *routers_[static_cast<std::size_t>(index)];
    decision::schedule_output output = at.decisions.take_output();
    for (const decision::started_request& item : output.started) {
        run_on(item.attributes.id, std::stoi(item.target.value().substr(7)));
    }
    for (decision::outgoing& item : output.messages) {
        send(index, std::move(item));
    }
}

void fleet::send(int from, decision::outgoing&& message) {
    router& at = *routers_[static_cast<std::size_t>(from)];
    decision::message_header header;
    header.sender = at.self;
    header.incarnation = base::incarnation(at.started);
    header.sequence = ++at.sequence;
    header.virtual_times = at.decisions.virtual_times();
    const auto bytes = static_cast<double>(estimated_bytes(message.body, header.virtual_times.size()));
    bytes_ += bytes;
    result_.bytes_by_type[std::min<std::size_t>(message.body.index() - first_type, 4)] += bytes;
    ++messages_;
    const int to = std::stoi(message.to.value().substr(6));
    const base::duration delay = from_seconds(seconds(where_.delay) * (1 + jitter * uniform(delays_)));
    after(delay, [this, to, header, body = std::move(message.body)] {
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
        pump(to);
    });
}

void fleet::run_on(const base::request_id& id, int index) {
    job& of = jobs_.at(id);
    --waiting_[static_cast<std::size_t>(of.account)];
    --waiting_total_;
    waits_[static_cast<std::size_t>(of.what.priority)].push_back(1000 *
                                                                 seconds(clock_.now() - of.what.arrived));
    of.worker = index;
    ++routers_[static_cast<std::size_t>(of.at)]->load[static_cast<std::size_t>(index)];
    worker& target = workers_[static_cast<std::size_t>(index)];
    if (static_cast<int>(target.running.size()) >= where_.slots) {
        target.waiting.push_back(id);
        return;
    }
    of.started = clock_.now();
    target.running.insert(id);
    ++running_total_;
    const std::uint64_t life = routers_[static_cast<std::size_t>(of.at)]->started;
    after(from_seconds(of.cost / where_.slot_rate), [=] { finish(id, life); });
}

void fleet::finish(const base::request_id& id, std::uint64_t life) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.worker < 0 ||
        routers_[static_cast<std::size_t>(found->second.at)]->started != life) {
        return;
    }
    const job of = found->second;
    jobs_.erase(found);
    served_[static_cast<std::size_t>(of.account)] += of.cost;
    worker& target = workers_[static_cast<std::size_t>(of.worker)];
    target.running.erase(id);
    --running_total_;
    if (!target.waiting.empty()) {
        const base::request_id next = target.waiting.front();
        target.waiting.erase(target.waiting.begin());
        job& following = jobs_.at(next);
        following.started = clock_.now();
        target.running.insert(next);
        ++running_total_;
        const std::uint64_t at_life = routers_[static_cast<std::size_t>(following.at)]->started;
        after(from_seconds(following.cost / where_.slot_rate), [=] { finish(next, at_life); });
    }
    router& at = *routers_[static_cast<std::size_t>(of.at)];
    --at.load[static_cast<std::size_t>(of.worker)];
    at.decisions.end(id, base::cost(of.cost), clock_.now());
    pump(of.at);
}

void fleet::poll_load() {
    std::vector<int> load;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
        load.push_back(static_cast<int>(workers_[i].running.size() + workers_[i].waiting.size()));
    }
    const base::time_point read_at = clock_.now();
    after(where_.delay, [this, load, read_at] {
        for (int i = 0; i < where_.routers; ++i) {
            router& at = *routers_[static_cast<std::size_t>(i)];
            if (!at.up) {
                continue;
            }
            at.load = load;
            for (std::size_t k = 0; k < load.size(); ++k) {
                const decision::upstream_load report{static_cast<std::uint32_t>(load[k]), 0,
                                                     base::slot_count(where_.slots)};
                at.decisions.report_load(worker_name(static_cast<int>(k)), report, read_at, clock_.now());
            }
            at.decisions.tick(clock_.now());
            pump(i);
        }
    });
    after(load_interval, [this] { poll_load(); });
}

double fleet::delivered(const job& of) const {
    return of.worker < 0 || of.started == base::time_point{}
               ? 0
               : std::min(of.cost, where_.slot_rate * seconds(clock_.now() - of.started));
}

void fleet::advance_all() {
    for (const auto& [id, of] : jobs_) {
        if (of.worker >= 0) {
            routers_[static_cast<std::size_t>(of.at)]->decisions.progress(id, base::cost(delivered(of)),
                                                                          clock_.now());
        }
    }
    after(progress_interval, [this] { advance_all(); });
}

void fleet::account_time() {
    const double passed = seconds(clock_.now() - counted_);
    counted_ = clock_.now();
    if (waiting_total_ > 0) {
        busy_time_ += passed * running_total_;
        slot_time_ += passed * where_.slots * where_.workers;
    }
}

void fleet::sample() {
    std::vector<double> service = served_;
    for (const auto& [id, of] : jobs_) {
        service[static_cast<std::size_t>(of.account)] += delivered(of);
    }
    for (std::size_t a = 0; a < service.size(); ++a) {
        for (std::size_t b = 0; b < a; ++b) {
            std::array<double, 2>& range = ranges_[a][b];
            if (waiting_[a] == 0 || waiting_[b] == 0) {
                range = {std::numeric_limits<double>::max(), std::numeric_limits<double>::lowest()};
                continue;
            }
            const double difference = service[a] / weights_[a] - service[b] / weights_[b];
            range = {std::min(range[0], difference), std::max(range[1], difference)};
            result_.gap = std::max(result_.gap, range[1] - range[0]);
        }
    }
    after(sample_interval, [this] { sample(); });
}

void fleet::lose(int index) {
    routers_[static_cast<std::size_t>(index)]->up = false;
    std::vector<job> lost;
    for (const auto& [id, of] : jobs_) {
        if (of.at == index) {
            lost.push_back(of);
        }
    }
    for (job& of : lost) {
        if (of.worker >= 0) {
            workers_[static_cast<std::size_t>(of.worker)].running.erase(of.what.id);
            --running_total_;
            served_[static_cast<std::size_t>(of.account)] += delivered(of);
        } else {
            --waiting_[static_cast<std::size_t>(of.account)];
            --waiting_total_;
        }
        jobs_.erase(of.what.id);
        of.worker = -1;
        of.started = {};
        after(resend, [this, of] { submit(of); });
    }
    after(suspicion, [this] { tell_members(); });
}

void fleet::tell_members() {
    decision::schedule_members members;
    members.listed_count = static_cast<std::size_t>(where_.routers);
    for (int i = 0; i < where_.routers; ++i) {
        if (routers_[static_cast<std::size_t>(i)]->up) {
            members.live.push_back(vm_name(i));
        }
    }
    for (int i = 0; i < where_.routers; ++i) {
        if (routers_[static_cast<std::size_t>(i)]->up) {
            routers_[static_cast<std::size_t>(i)]->decisions.set_members(members, clock_.now());
            pump(i);
        }
    }
}

figures fleet::run(base::duration length) {
    for (int i = 0; i < account_count; ++i) {
        arrive_next(i);
    }
    for (int i = 0; i < where_.routers; ++i) {
        const std::function<void()> tick = [this, i] {
            if (routers_[static_cast<std::size_t>(i)]->up) {
                routers_[static_cast<std::size_t>(i)]->decisions.tick(clock_.now());
                pump(i);
            }
        };
        for (base::duration at = milliseconds(i); at < length; at += decision::schedule::tick_interval) {
            after(at, tick);
        }
    }
    poll_load();
    advance_all();
    after(warm_up, [this] { sample(); });
    if (what_.lose_router && how_ == mode::shared) {
        after(length / 3, [this] { lose(0); });
        after(2 * length / 3, [this] {
            start_router(0);
            tell_members();
        });
    }
    const base::time_point end = start_ + length;
    while (!events_.empty() && events_.top().at < end) {
        const timed next = events_.top();
        events_.pop();
        clock_.advance(next.at - clock_.now());
        account_time();
        next.call();
    }
    result_.busy = slot_time_ > 0 ? busy_time_ / slot_time_ : 0;
    for (std::size_t i = 0; i < waits_.size(); ++i) {
        result_.wait_ms[i] = {percentile(waits_[i], 0.5), percentile(waits_[i], 0.95)};
    }
    for (const double cost : served_) {
        result_.work += cost / where_.mean_cost;
    }
    for (const auto& [id, of] : jobs_) {
        result_.work += delivered(of) / where_.mean_cost;
    }
    const double node_seconds = seconds(length) * where_.routers;
    result_.bytes_per_node_second = bytes_ / node_seconds;
    for (double& bytes : result_.bytes_by_type) {
        bytes /= node_seconds;
    }
    result_.messages_per_node_second = messages_ / node_seconds;
    return result_;
}

} // namespace bluebell::bench
