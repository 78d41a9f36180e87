#include "decision/schedule.h"

#include "base/hash.h"

#include <algorithm>
#include <string>

namespace bluebell::decision {

schedule::schedule(base::vm_id self, base::incarnation life, const schedule_options& options,
                   const start_gate& gate)
    : self_(self), life_(life), options_(options), gate_(gate), share_(options.share), home_(options.share),
      queue_(options.queue), owner_(self, life, options.permit), bidder_(self, options.permit) {
    members_.live = {self_};
    members_.owners = {self_};
}

void schedule::configure(std::shared_ptr<const fleet_config> config, base::time_point now) {
    now_ = now;
    config_ = std::move(config);
    share_.configure(config_);
    for (const auto& [id, what] : config_->pools) {
        home_.set_default_cost(id, what.default_cost);
        queue_.set_boost(id, base::normalised_cost(options_.boost_requests * what.default_cost.value()));
    }
    std::vector<waiting_request> removed = queue_.remove_if([this](const request& what) {
        return config_->accounts.count(what.account) == 0 || config_->pools.count(what.pool) == 0;
    });
    for (waiting_request& item : removed) {
        const bool known = config_->pools.count(item.what.pool) > 0;
        refuse(std::move(item),
               base::error{known ? base::error_code::unknown_client_account : base::error_code::unknown_pool,
                           "release " + std::to_string(config_->revision.value()),
                           "the release withdrew the client account or the pool"});
    }
    assign_owners(members_.listed > 1, now);
}

base::vm_id schedule::owner_of(const base::upstream_id& upstream, const std::vector<base::vm_id>& owners) {
    return base::rendezvous_owner("upstream/" + upstream.value(), owners);
}

void schedule::set_members(const schedule_members& members, base::time_point now) {
    now_ = now;
    const schedule_members before = std::exchange(members_, members);
    if (members_.owners.empty()) {
        members_.owners = members_.live;
    }
    owner_.set_visible(members_.live.size(), members_.listed);
    if (before.live != members_.live) {
        // The owner may have less to give now; every slot goes back to it once.
        for (auto& [id, item] : running_) {
            item.reused = options_.permit.reuse_limit;
        }
    }
    for (const base::vm_id& member : before.live) {
        if (std::find(members_.live.begin(), members_.live.end(), member) == members_.live.end()) {
            owner_.lose_member(member, now);
            home_.lose_member(member);
        }
    }
    if (before.owners != members_.owners) {
        homes_.clear();
        assign_owners(members_.listed > 1, now);
        share_.report_again();
    }
    for (const base::pool_id& pool : active_) {
        serve(pool, now);
    }
}

void schedule::assign_owners(bool learn, base::time_point now) {
    if (!config_) {
        return;
    }
    std::map<base::upstream_id, base::vm_id> owners;
    std::vector<upstream> own;
    for (const auto& [id, what] : config_->upstreams) {
        const base::vm_id owner = owner_of(id, members_.owners);
        owners.emplace(id, owner);
        if (owner == self_) {
            own.push_back(what);
        }
    }
    owner_.set_owned(own, now, learn);
    bidder_.set_owners(config_->upstreams, owners);
    for (const auto& [pool, held] : bidder_.held_of(self_)) {
        owner_.adopt(self_, held, pool, now);
    }
}

base::vm_id schedule::home_of(const share_key& key) {
    const auto [position, created] = homes_.try_emplace(key);
    if (created) {
        position->second =
            base::rendezvous_owner("home/" + key.pool.value() + "/" + key.account.value(), members_.owners);
    }
    return position->second;
}

base::result<void> schedule::arrive(const request& what, base::time_point now,
                                    std::vector<base::upstream_id> avoid) {
    now_ = now;
    if (!config_ || config_->accounts.count(what.account) == 0) {
        return base::failure(base::error_code::unknown_client_account, what.account.value(),
                             "no such client account in the release in force");
    }
    const auto pool = config_->pools.find(what.pool);
    if (pool == config_->pools.end()) {
        return base::failure(base::error_code::unknown_pool, what.pool.value(),
                             "no such pool in the release in force");
    }
    if (queue_.contains(what.id) || running_.count(what.id) > 0) {
        return base::failure(base::error_code::invalid_field, "request id",
                             "a request with this id is waiting or running");
    }
    if (what.deadline <= now) {
        return base::failure(base::error_code::deadline_exceeded, "deadline",
                             "the deadline passed before the request was queued");
    }
    const share_key key{what.pool, what.account};
    waiting_request added{what, std::move(avoid)};
    if (!(added.what.hint > base::cost())) {
        added.what.hint = pool->second.default_cost;
    }
    const bool first = queue_.waiting(key) == 0;
    base::result<void> pushed = queue_.push(std::move(added), share_.normalised(key));
    if (!pushed) {
        return pushed;
    }
    if (first) {
        share_.set_backlogged(key, true);
        reprice(key);
    }
    active_.insert(what.pool);
    bidder_.touch(what.pool);
    serve(what.pool, now);
    return {};
}

bool schedule::cancel(const base::request_id& id, base::time_point now) {
    now_ = now;
    const std::optional<waiting_request> removed = queue_.remove(id);
    if (removed) {
        left_queue(share_key{removed->what.pool, removed->what.account});
    }
    return removed.has_value();
}

void schedule::refuse(waiting_request&& removed, base::error cause) {
    left_queue(share_key{removed.what.pool, removed.what.account});
    output_.refused.push_back(refused_request{std::move(removed.what), std::move(cause)});
}

void schedule::left_queue(const share_key& key) {
    if (queue_.waiting(key) == 0) {
        share_.set_backlogged(key, false);
    }
    bidder_.touch(key.pool);
}

bool schedule::accept(const message_header& header, base::time_point now) {
    now_ = now;
    const auto [known, first] = lives_.try_emplace(header.sender, header.incarnation);
    if (header.incarnation < known->second) {
        return false;
    }
    if (header.incarnation > known->second) {
        known->second = header.incarnation;
        owner_.lose_member(header.sender, now);
        home_.lose_member(header.sender);
    }
    return true;
}

void schedule::receive(const message_header& header, const bid& body, base::time_point now) {
    // Grants of a router outside the membership would never return.
    const bool member =
        std::find(members_.live.begin(), members_.live.end(), header.sender) != members_.live.end();
    if (accept(header, now) && member) {
        owner_.receive(header.sender, header.incarnation, body, now);
        serve(body.pool, now);
    }
}

void schedule::receive(const message_header& header, const grant& body, base::time_point now) {
    if (!accept(header, now)) {
        return;
    }
    switch (bidder_.hold(header.sender, body)) {
    case grant_state::taken:
        use(body, now);
        break;
    case grant_state::held:
        break;
    case grant_state::ended:
        output_.messages.push_back(outgoing{header.sender, release{body.id, body.pool, body.upstream}});
        break;
    }
}

void schedule::receive(const message_header& header, const release& body, base::time_point now) {
    if (accept(header, now)) {
        owner_.receive(header.sender, body, now);
        serve(body.pool, now);
    }
}

void schedule::receive(const message_header& header, const usage& body, base::time_point now) {
    if (accept(header, now)) {
        home_.receive(
            header, body, [this](const base::pool_id& pool) { return share_.virtual_time(pool); }, now);
    }
}

void schedule::receive(const message_header& header, const usage_total& body, base::time_point now) {
    if (!accept(header, now)) {
        return;
    }
    for (const usage_total_entry& entry : body.entries) {
        const share_key key{entry.pool, entry.account};
        if (home_of(key) == header.sender && share_.merge(entry, header)) {
            reprice(key);
        }
    }
}

void schedule::observe(const std::vector<pool_time>& times) {
    for (const pool_time& item : times) {
        advance(item.pool, item.virtual_time);
    }
}

std::vector<pool_time> schedule::virtual_times() {
    std::vector<pool_time> times;
    auto position = active_.upper_bound(last_told_);
    for (std::size_t i = 0; i < std::min(active_.size(), max_header_pools); ++i) {
        position = position == active_.end() ? active_.begin() : position;
        last_told_ = *position;
        times.push_back(pool_time{*position, share_.virtual_time(*position)});
        ++position;
    }
    return times;
}

void schedule::advance(const base::pool_id& pool, base::normalised_cost to) {
    if (share_.advance(pool, to)) {
        reprice_pool(pool);
    }
    if (to > base::normalised_cost()) {
        active_.insert(pool);
    }
}

void schedule::reprice(const share_key& key) {
    queue_.reprice(key, share_.normalised(key));
}

void schedule::reprice_pool(const base::pool_id& pool) {
    for (const base::client_account_id& account : queue_.accounts(pool)) {
        reprice(share_key{pool, account});
    }
}

void schedule::progress(const base::request_id& id, base::cost spent, base::time_point now) {
    now_ = now;
    const auto found = running_.find(id);
    if (found != running_.end() && share_.progress(found->second.paid, spent)) {
        reprice(found->second.paid.of);
    }
}

void schedule::end(const base::request_id& id, base::cost spent, base::time_point now) {
    now_ = now;
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    running_request ended = std::move(found->second);
    running_.erase(found);
    share_.finish(ended.paid, spent);
    reprice(ended.paid.of);
    if (may_reuse(ended, now) && start_in(ended.permit, ended.granted, ended.reused + 1)) {
        ++reused_;
        return;
    }
    give_back(ended.permit, false, now);
}

/// Saves a release and a grant, and the two one-way delays in which the slot would be idle.
bool schedule::may_reuse(const running_request& ended, base::time_point now) const {
    const base::pool_id& pool = ended.permit.pool;
    const base::vm_id& owner = bidder_.owner_of(ended.permit.upstream);
    const bool partition = members_.live.size() < members_.listed;
    if (partition || owner == self_ || owner.value().empty() || ended.reused >= options_.permit.reuse_limit) {
        return false;
    }
    const std::vector<candidate> first = queue_.first(pool, 1);
    const auto what = config_->pools.find(pool);
    if (first.empty() || what == config_->pools.end()) {
        return false;
    }
    const base::normalised_cost key =
        first.front().key -
        base::normalised_cost(options_.permit.reuse_slack * what->second.default_cost.value());
    if (owner_.serves(pool)) {
        return key <= owner_.lowest_key(pool, self_).value_or(key);
    }
    return now - ended.granted <= options_.permit.reuse_fresh && key <= ended.permit.other_key.value_or(key);
}

void schedule::report_load(const base::upstream_id& upstream, const upstream_load& load,
                           base::time_point read_at, base::time_point now) {
    now_ = now;
    owner_.report_load(upstream, load, read_at, now);
}

void schedule::hold_starts(bool hold, base::time_point now) {
    now_ = now;
    hold_ = hold;
    for (const base::pool_id& pool : active_) {
        bidder_.touch(pool);
        serve(pool, now);
    }
}

void schedule::stop_upstream(const base::upstream_id& upstream, bool stop, base::time_point now) {
    now_ = now;
    owner_.stop_upstream(upstream, stop);
    for (const base::pool_id& pool : active_) {
        serve(pool, now);
    }
}

demand schedule::demand_of(const base::pool_id& pool) const {
    demand work;
    if (hold_) {
        return work;
    }
    work.waiting = queue_.waiting(pool);
    if (work.waiting == 0) {
        return work;
    }
    const std::size_t count = options_.permit.next_keys + 1;
    std::vector<candidate> candidates = queue_.first(pool, count);
    work.account = candidates.front().account;
    work.priority = candidates.front().priority;
    work.start_tag = *queue_.lowest_service(pool);
    const auto what = config_->pools.find(pool);
    work.step = base::normalised_cost(what == config_->pools.end() ? 0 : what->second.default_cost.value());
    while (work.keys.size() < std::min(count, work.waiting)) {
        const auto lowest =
            std::min_element(candidates.begin(), candidates.end(),
                             [](const candidate& a, const candidate& b) { return a.key < b.key; });
        if (lowest == candidates.end()) {
            break;
        }
        work.keys.push_back(lowest->key);
        const share_key key{pool, lowest->account};
        lowest->key += share_.expected(key, lowest->hint) / share_.weight_of(key.account);
        if (--lowest->waiting == 0) {
            candidates.erase(lowest);
        }
    }
    return work;
}

void schedule::serve(const base::pool_id& pool, base::time_point now) {
    const permit_owner::gate may_start = [this](const base::upstream_id& id) { return gate_.can_start(id); };
    for (std::optional<decided_grant> given = owner_.next(pool, demand_of(pool), may_start, now); given;
         given = owner_.next(pool, demand_of(pool), may_start, now)) {
        advance(pool, given->lowest_start_tag);
        if (given->to == self_) {
            bidder_.hold(self_, given->what);
            use(given->what, now);
        } else {
            output_.messages.push_back(outgoing{given->to, given->what});
        }
    }
}

bool schedule::start_in(const grant& permit, base::time_point granted, std::size_t reused) {
    std::optional<waiting_request> next;
    if (!hold_ && gate_.can_start(permit.upstream)) {
        next = queue_.pop(permit.pool, permit.upstream);
    }
    if (!next) {
        return false;
    }
    const share_key key{permit.pool, next->what.account};
    running_.emplace(next->what.id,
                     running_request{permit, share_.start(key, next->what.hint), granted, reused});
    left_queue(key);
    reprice(key);
    output_.started.push_back(started_request{std::move(next->what), permit.upstream});
    return true;
}

void schedule::use(const grant& permit, base::time_point now) {
    if (!start_in(permit, now, 0)) {
        ++unused_;
        give_back(permit, queue_.waiting(permit.pool) > 0, now);
    }
}

void schedule::give_back(const grant& permit, bool unused, base::time_point now) {
    const base::vm_id owner = bidder_.drop(permit.id, now);
    const release body{permit.id, permit.pool, permit.upstream, unused};
    if (owner == self_) {
        owner_.receive(self_, body, now);
        if (!unused) {
            serve(permit.pool, now);
        }
    } else if (!owner.value().empty()) {
        output_.messages.push_back(outgoing{owner, body});
    }
}

void schedule::collect_usage() {
    message_header header;
    header.sender = self_;
    header.incarnation = life_;
    std::vector<outgoing> collected =
        share_.collect([this](const share_key& key) { return home_of(key); }, now_);
    for (outgoing& item : collected) {
        if (item.to == self_) {
            header.sequence = ++loop_sequence_;
            receive(header, std::get<usage>(item.body), now_);
        } else {
            output_.messages.push_back(std::move(item));
        }
    }
    for (outgoing& item : home_.collect(now_)) {
        if (item.to == self_) {
            header.sequence = ++loop_sequence_;
            receive(header, std::get<usage_total>(item.body), now_);
        } else {
            output_.messages.push_back(std::move(item));
        }
    }
}

void schedule::tick(base::time_point now) {
    now_ = now;
    for (waiting_request& item : queue_.expire(now)) {
        refuse(std::move(item), base::error{base::error_code::deadline_exceeded, self_.value(),
                                            "the deadline passed while the request waited"});
    }
    std::set<base::pool_id> ready = owner_.tick(now, output_.messages);
    for (const base::pool_id& pool : active_) {
        if (queue_.waiting(pool) > 0) {
            ready.insert(pool);
        }
    }
    for (const base::pool_id& pool : ready) {
        serve(pool, now);
    }
}

schedule_output schedule::take() {
    collect_usage();
    for (outgoing& item :
         bidder_.collect([this](const base::pool_id& pool) { return demand_of(pool); }, now_)) {
        output_.messages.push_back(std::move(item));
    }
    return std::exchange(output_, {});
}

std::size_t schedule::waiting() const {
    return queue_.size();
}

std::size_t schedule::running() const {
    return running_.size();
}

std::vector<state_value> schedule::report() const {
    std::vector<state_value> values{
        {"waiting", std::to_string(queue_.size())},
        {"waiting_body_bytes", std::to_string(queue_.body_bytes().value())},
        {"running", std::to_string(running_.size())},
        {"grants_outstanding", std::to_string(owner_.outstanding())},
        {"grants_returned", std::to_string(owner_.returned())},
        {"grants_unused", std::to_string(unused_)},
        {"grants_reused", std::to_string(reused_)},
        {"share_accounts", std::to_string(share_.accounts())},
        {"home_accounts", std::to_string(home_.accounts())},
    };
    for (const base::pool_id& pool : active_) {
        values.push_back({"waiting/" + pool.value(), std::to_string(queue_.waiting(pool))});
        values.push_back({"virtual_time/" + pool.value(), std::to_string(share_.virtual_time(pool).value())});
    }
    return values;
}

} // namespace bluebell::decision
