#include "decision/schedule.h"

#include "base/hash.h"

#include <algorithm>
#include <string>

namespace bluebell::decision {

schedule::schedule(base::vm_id self, base::incarnation incarnation, const schedule_options& options,
                   const start_gate& gate)
    : self_(self), incarnation_(incarnation), options_(options), gate_(gate), service_(options.share),
      usage_owner_(options.share), queue_(options.queue), owner_(self, incarnation, options.permit),
      bidder_(self, options.permit) {
    members_.live = {self_};
    members_.owners = {self_};
}

void schedule::configure(std::shared_ptr<const fleet_config> config, base::time_point now) {
    now_ = now;
    config_ = std::move(config);
    service_.configure(config_);
    for (const auto& [id, settings] : config_->pools) {
        usage_owner_.set_default_cost(id, settings.default_cost);
        queue_.set_boost(id, base::normalised_cost(options_.boost_requests * settings.default_cost.value()));
    }
    std::vector<waiting_request> removed = queue_.remove_if([this](const request& attributes) {
        return config_->accounts.count(attributes.account) == 0 || config_->pools.count(attributes.pool) == 0;
    });
    for (waiting_request& entry : removed) {
        const bool known = config_->pools.count(entry.attributes.pool) > 0;
        refuse(std::move(entry),
               base::error{known ? base::error_code::unknown_client_account : base::error_code::unknown_pool,
                           "release " + std::to_string(config_->revision.value()),
                           "the release withdrew the client account or the pool"});
    }
    assign_owners(members_.listed_count > 1, now);
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
    owner_.set_visible_members(members_.live.size(), members_.listed_count);
    if (before.live != members_.live) {
        // The owner may have fewer slots to grant after the change, so each slot in use is returned to it
        // instead of being reused.
        for (auto& [id, entry] : running_) {
            entry.reuse_count = options_.permit.max_reuses;
        }
    }
    for (const base::vm_id& member : before.live) {
        if (std::find(members_.live.begin(), members_.live.end(), member) == members_.live.end()) {
            owner_.lose_member(member, now);
            usage_owner_.lose_member(member);
        }
    }
    if (before.owners != members_.owners) {
        usage_owners_.clear();
        assign_owners(members_.listed_count > 1, now);
        service_.report_all();
    }
    for (const base::pool_id& pool : active_pools_) {
        grant_free_slots(pool, now);
    }
}

void schedule::assign_owners(bool learn, base::time_point now) {
    if (!config_) {
        return;
    }
    std::map<base::upstream_id, base::vm_id> owners;
    std::vector<upstream> own;
    for (const auto& [id, settings] : config_->upstreams) {
        const base::vm_id owner = owner_of(id, members_.owners);
        owners.emplace(id, owner);
        if (owner == self_) {
            own.push_back(settings);
        }
    }
    owner_.set_owned(own, now, learn);
    bidder_.set_owners(config_->upstreams, owners);
    for (const auto& [pool, held] : bidder_.grants_from(self_)) {
        owner_.adopt(self_, held, pool, now);
    }
}

base::vm_id schedule::usage_owner_of(const share_key& key) {
    const auto [position, created] = usage_owners_.try_emplace(key);
    if (created) {
        position->second =
            base::rendezvous_owner("home/" + key.pool.value() + "/" + key.account.value(), members_.owners);
    }
    return position->second;
}

base::result<void> schedule::enqueue(const request& attributes, base::time_point now,
                                     std::vector<base::upstream_id> avoid) {
    now_ = now;
    if (!config_ || config_->accounts.count(attributes.account) == 0) {
        return base::failure(base::error_code::unknown_client_account, attributes.account.value(),
                             "no such client account in the release in force");
    }
    const auto pool = config_->pools.find(attributes.pool);
    if (pool == config_->pools.end()) {
        return base::failure(base::error_code::unknown_pool, attributes.pool.value(),
                             "no such pool in the release in force");
    }
    if (queue_.contains(attributes.id) || running_.count(attributes.id) > 0) {
        return base::failure(base::error_code::invalid_field, "request id",
                             "a request with this id is waiting or running");
    }
    if (attributes.deadline <= now) {
        return base::failure(base::error_code::deadline_exceeded, "deadline",
                             "the deadline passed before the request was queued");
    }
    const share_key key{attributes.pool, attributes.account};
    waiting_request added{attributes, std::move(avoid)};
    if (!(added.attributes.hint > base::cost())) {
        added.attributes.hint = pool->second.default_cost;
    }
    const bool first = queue_.waiting_count(key) == 0;
    base::result<void> pushed = queue_.push(std::move(added), service_.normalised_service(key));
    if (!pushed) {
        return pushed;
    }
    if (first) {
        service_.set_backlogged(key, true);
        update_order(key);
    }
    active_pools_.insert(attributes.pool);
    bidder_.mark_changed(attributes.pool);
    grant_free_slots(attributes.pool, now);
    return {};
}

bool schedule::cancel(const base::request_id& id, base::time_point now) {
    now_ = now;
    const std::optional<waiting_request> removed = queue_.remove(id);
    if (removed) {
        update_backlog(share_key{removed->attributes.pool, removed->attributes.account});
    }
    return removed.has_value();
}

void schedule::refuse(waiting_request&& removed, base::error cause) {
    update_backlog(share_key{removed.attributes.pool, removed.attributes.account});
    output_.refused.push_back(refused_request{std::move(removed.attributes), std::move(cause)});
}

void schedule::update_backlog(const share_key& key) {
    if (queue_.waiting_count(key) == 0) {
        service_.set_backlogged(key, false);
    }
    bidder_.mark_changed(key.pool);
}

bool schedule::accept_sender(const message_header& header, base::time_point now) {
    now_ = now;
    const auto [latest, first] = incarnations_.try_emplace(header.sender, header.incarnation);
    if (header.incarnation < latest->second) {
        return false;
    }
    if (header.incarnation > latest->second) {
        latest->second = header.incarnation;
        owner_.lose_member(header.sender, now);
        usage_owner_.lose_member(header.sender);
    }
    return true;
}

void schedule::receive(const message_header& header, const bid& body, base::time_point now) {
    // Grants to a router outside the membership would never be returned.
    const bool member =
        std::find(members_.live.begin(), members_.live.end(), header.sender) != members_.live.end();
    if (accept_sender(header, now) && member) {
        owner_.receive(header.sender, header.incarnation, body, now);
        grant_free_slots(body.pool, now);
    }
}

void schedule::receive(const message_header& header, const grant& body, base::time_point now) {
    if (!accept_sender(header, now)) {
        return;
    }
    switch (bidder_.accept(header.sender, body)) {
    case grant_state::taken:
        use_grant(body, now);
        break;
    case grant_state::held:
        break;
    case grant_state::ended:
        output_.messages.push_back(outgoing{header.sender, release{body.id, body.pool, body.upstream}});
        break;
    }
}

void schedule::receive(const message_header& header, const release& body, base::time_point now) {
    if (accept_sender(header, now)) {
        owner_.receive(header.sender, body, now);
        grant_free_slots(body.pool, now);
    }
}

void schedule::receive(const message_header& header, const usage& body, base::time_point now) {
    if (accept_sender(header, now)) {
        usage_owner_.receive(
            header, body, [this](const base::pool_id& pool) { return service_.virtual_time(pool); }, now);
    }
}

void schedule::receive(const message_header& header, const usage_total& body, base::time_point now) {
    if (!accept_sender(header, now)) {
        return;
    }
    for (const usage_total_entry& entry : body.entries) {
        const share_key key{entry.pool, entry.account};
        if (usage_owner_of(key) == header.sender && service_.merge(entry, header)) {
            update_order(key);
        }
    }
}

void schedule::merge_virtual_times(const std::vector<pool_time>& times) {
    for (const pool_time& entry : times) {
        advance_virtual_time(entry.pool, entry.virtual_time);
    }
}

std::vector<pool_time> schedule::virtual_times() {
    std::vector<pool_time> times;
    auto position = active_pools_.upper_bound(last_header_pool_);
    for (std::size_t i = 0; i < std::min(active_pools_.size(), max_header_pools); ++i) {
        position = position == active_pools_.end() ? active_pools_.begin() : position;
        last_header_pool_ = *position;
        times.push_back(pool_time{*position, service_.virtual_time(*position)});
        ++position;
    }
    return times;
}

void schedule::advance_virtual_time(const base::pool_id& pool, base::normalised_cost to) {
    if (service_.advance_virtual_time(pool, to)) {
        update_pool_order(pool);
    }
    if (to > base::normalised_cost()) {
        active_pools_.insert(pool);
    }
}

void schedule::update_order(const share_key& key) {
    queue_.set_service(key, service_.normalised_service(key));
}

void schedule::update_pool_order(const base::pool_id& pool) {
    for (const base::client_account_id& account : queue_.waiting_accounts(pool)) {
        update_order(share_key{pool, account});
    }
}

void schedule::progress(const base::request_id& id, base::cost spent, base::time_point now) {
    now_ = now;
    const auto found = running_.find(id);
    if (found != running_.end() && service_.charge_progress(found->second.account_charge, spent)) {
        update_order(found->second.account_charge.key);
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
    service_.charge_end(ended.account_charge, spent);
    update_order(ended.account_charge.key);
    if (can_reuse_slot(ended, now) && start_in_slot(ended.permit, ended.granted_at, ended.reuse_count + 1)) {
        ++reused_slots_;
        return;
    }
    return_grant(ended.permit, false, now);
}

/// Reuse saves a release and a grant message, and the two one-way delays during which the slot would be idle.
/// Not allowed in a partition, since the owner's share of the slots may shrink.
bool schedule::can_reuse_slot(const running_request& ended, base::time_point now) const {
    const base::pool_id& pool = ended.permit.pool;
    const base::vm_id& owner = bidder_.owner_of(ended.permit.upstream);
    const bool partition = members_.live.size() < members_.listed_count;
    if (partition || owner == self_ || owner.value().empty() ||
        ended.reuse_count >= options_.permit.max_reuses) {
        return false;
    }
    const std::vector<candidate> first = queue_.first_accounts(pool, 1);
    const auto settings = config_->pools.find(pool);
    if (first.empty() || settings == config_->pools.end()) {
        return false;
    }
    const base::normalised_cost key =
        first.front().key -
        base::normalised_cost(options_.permit.reuse_slack * settings->second.default_cost.value());
    if (owner_.owns_pool(pool)) {
        return key <= owner_.lowest_key(pool, self_).value_or(key);
    }
    return now - ended.granted_at <= options_.permit.other_key_lifetime &&
           key <= ended.permit.other_key.value_or(key);
}

void schedule::report_load(const base::upstream_id& upstream, const upstream_load& load,
                           base::time_point read_at, base::time_point now) {
    now_ = now;
    owner_.report_load(upstream, load, read_at, now);
}

void schedule::hold_starts(bool hold, base::time_point now) {
    now_ = now;
    starts_held_ = hold;
    for (const base::pool_id& pool : active_pools_) {
        bidder_.mark_changed(pool);
        grant_free_slots(pool, now);
    }
}

void schedule::stop_upstream(const base::upstream_id& upstream, bool stop, base::time_point now) {
    now_ = now;
    owner_.stop_upstream(upstream, stop);
    for (const base::pool_id& pool : active_pools_) {
        grant_free_slots(pool, now);
    }
}

demand schedule::current_demand(const base::pool_id& pool) const {
    demand work;
    if (starts_held_) {
        return work;
    }
    work.waiting = queue_.waiting_count(pool);
    if (work.waiting == 0) {
        return work;
    }
    const std::size_t count = options_.permit.next_key_count + 1;
    std::vector<candidate> candidates = queue_.first_accounts(pool, count);
    work.account = candidates.front().account;
    work.priority = candidates.front().priority;
    work.start_tag = *queue_.lowest_service(pool);
    const auto settings = config_->pools.find(pool);
    work.key_step =
        base::normalised_cost(settings == config_->pools.end() ? 0 : settings->second.default_cost.value());
    while (work.keys.size() < std::min(count, work.waiting)) {
        const auto lowest =
            std::min_element(candidates.begin(), candidates.end(),
                             [](const candidate& a, const candidate& b) { return a.key < b.key; });
        if (lowest == candidates.end()) {
            break;
        }
        work.keys.push_back(lowest->key);
        const share_key key{pool, lowest->account};
        lowest->key += service_.expected_cost(key, lowest->hint) / service_.weight_of(key.account);
        if (--lowest->waiting == 0) {
            candidates.erase(lowest);
        }
    }
    return work;
}

void schedule::grant_free_slots(const base::pool_id& pool, base::time_point now) {
    const permit_owner::gate may_start = [this](const base::upstream_id& id) { return gate_.can_start(id); };
    for (std::optional<decided_grant> decided = owner_.next_grant(pool, current_demand(pool), may_start, now);
         decided; decided = owner_.next_grant(pool, current_demand(pool), may_start, now)) {
        advance_virtual_time(pool, decided->lowest_start_tag);
        if (decided->holder == self_) {
            bidder_.accept(self_, decided->permit);
            use_grant(decided->permit, now);
        } else {
            output_.messages.push_back(outgoing{decided->holder, decided->permit});
        }
    }
}

bool schedule::start_in_slot(const grant& permit, base::time_point granted, std::size_t reused) {
    std::optional<waiting_request> next;
    if (!starts_held_ && gate_.can_start(permit.upstream)) {
        next = queue_.pop(permit.pool, permit.upstream);
    }
    if (!next) {
        return false;
    }
    const share_key key{permit.pool, next->attributes.account};
    running_.emplace(
        next->attributes.id,
        running_request{permit, service_.charge_start(key, next->attributes.hint), granted, reused});
    update_backlog(key);
    update_order(key);
    output_.started.push_back(started_request{std::move(next->attributes), permit.upstream});
    return true;
}

void schedule::use_grant(const grant& permit, base::time_point now) {
    if (!start_in_slot(permit, now, 0)) {
        ++unused_grants_;
        return_grant(permit, queue_.waiting_count(permit.pool) > 0, now);
    }
}

void schedule::return_grant(const grant& permit, bool unused, base::time_point now) {
    const base::vm_id owner = bidder_.end_grant(permit.id, now);
    const release body{permit.id, permit.pool, permit.upstream, unused};
    if (owner == self_) {
        owner_.receive(self_, body, now);
        if (!unused) {
            grant_free_slots(permit.pool, now);
        }
    } else if (!owner.value().empty()) {
        output_.messages.push_back(outgoing{owner, body});
    }
}

void schedule::collect_usage() {
    message_header header;
    header.sender = self_;
    header.incarnation = incarnation_;
    std::vector<outgoing> collected =
        service_.collect([this](const share_key& key) { return usage_owner_of(key); }, now_);
    for (outgoing& entry : collected) {
        if (entry.to == self_) {
            header.sequence = ++self_sequence_;
            receive(header, std::get<usage>(entry.body), now_);
        } else {
            output_.messages.push_back(std::move(entry));
        }
    }
    for (outgoing& entry : usage_owner_.collect(now_)) {
        if (entry.to == self_) {
            header.sequence = ++self_sequence_;
            receive(header, std::get<usage_total>(entry.body), now_);
        } else {
            output_.messages.push_back(std::move(entry));
        }
    }
}

void schedule::tick(base::time_point now) {
    now_ = now;
    for (waiting_request& expired : queue_.expire(now)) {
        refuse(std::move(expired), base::error{base::error_code::deadline_exceeded, self_.value(),
                                               "the deadline passed while the request waited"});
    }
    std::set<base::pool_id> ready = owner_.tick(now, output_.messages);
    for (const base::pool_id& pool : active_pools_) {
        if (queue_.waiting_count(pool) > 0) {
            ready.insert(pool);
        }
    }
    for (const base::pool_id& pool : ready) {
        grant_free_slots(pool, now);
    }
}

schedule_output schedule::take_output() {
    collect_usage();
    for (outgoing& entry :
         bidder_.collect([this](const base::pool_id& pool) { return current_demand(pool); }, now_)) {
        output_.messages.push_back(std::move(entry));
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
        {"grants_unused", std::to_string(unused_grants_)},
        {"grants_reused", std::to_string(reused_slots_)},
        {"share_accounts", std::to_string(service_.accounts())},
        {"home_accounts", std::to_string(usage_owner_.accounts())},
    };
    for (const base::pool_id& pool : active_pools_) {
        values.push_back({"waiting/" + pool.value(), std::to_string(queue_.waiting_count(pool))});
        values.push_back(
            {"virtual_time/" + pool.value(), std::to_string(service_.virtual_time(pool).value())});
    }
    return values;
}

} // namespace bluebell::decision
