#include "decision/release.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace bluebell::decision {
namespace {

using base::error;
using base::error_code;

bool is_name(const std::string& text) {
    const auto is_allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= name_limit && std::all_of(text.begin(), text.end(), is_allowed);
}

/// Collects the faults of one note.
class note_check {
public:
    note_check(const release_note& note, const fleet_config& current) : note_(note), current_(current) {}

    std::vector<error> run() {
        check_note();
        check_names("client account", note_.accounts, current_.accounts);
        check_names("pool", note_.pools, current_.pools);
        check_names("upstream", note_.upstreams, current_.upstreams);
        for (const account_change& item : note_.accounts) {
            check_account(item);
        }
        for (const pool_change& item : note_.pools) {
            check_pool(item);
        }
        for (const upstream_change& item : note_.upstreams) {
            check_upstream(item);
        }
        check_addresses();
        return std::move(faults_);
    }

private:
    void fault(error_code code, const std::string& place, std::string text) {
        faults_.push_back(error{code, place, std::move(text)});
    }

    void require(bool holds, const std::string& place, const std::string& text) {
        if (!holds) {
            fault(error_code::note_invalid_value, place, text);
        }
    }

    void check_note() {
        require(is_name(note_.author.value()), note_.place, "operator is not a valid name");
        if (note_.accounts.empty() && note_.pools.empty() && note_.upstreams.empty()) {
            fault(error_code::note_malformed, note_.place, "the note changes nothing");
        }
        if (note_.base_revision && *note_.base_revision != current_.revision) {
            fault(error_code::note_conflict, note_.place,
                  "base_revision is " + std::to_string(note_.base_revision->value()) + ", but revision " +
                      std::to_string(current_.revision.value()) + " is in force");
        }
    }

    template <typename Change, typename Table>
    void check_names(const std::string& what, const std::vector<Change>& changes, const Table& table) {
        std::map<std::string, std::string> first_places;
        for (const Change& item : changes) {
            const std::string& name = item.id.value();
            const bool exists = table.count(item.id) != 0;
            require(is_name(name), item.place,
                    "a name has 1 to " + std::to_string(name_limit) + " of the characters A-Z a-z 0-9 - _ .");
            const auto inserted = first_places.emplace(name, item.place);
            if (!inserted.second) {
                fault(error_code::note_duplicate_name, item.place,
                      what + " " + name + " is already named at " + inserted.first->second);
            } else if (item.kind == change_kind::add && exists) {
                fault(error_code::note_duplicate_name, item.place, what + " " + name + " exists already");
            } else if (item.kind != change_kind::add && !exists) {
                fault(error_code::note_unknown_name, item.place, what + " " + name + " does not exist");
            }
        }
    }

    void check_account(const account_change& item) {
        if (item.share) {
            const double share = item.share->value();
            require(std::isfinite(share) && share > 0 && share <= share_limit, item.place,
                    "share must be above 0 and at most 1000000");
        }
    }

    void check_pool(const pool_change& item) {
        if (item.default_cost) {
            const double cost = item.default_cost->value();
            require(std::isfinite(cost) && cost > 0 && cost <= default_cost_limit, item.place,
                    "default_cost must be above 0 and at most 1000000000");
        }
        // The cost of a model is counted in tokens, that of a service in ms; charged service would mix units.
        require(item.kind != change_kind::change || !item.type, item.place,
                "kind cannot change; withdraw the pool and add another one");
        if (item.kind == change_kind::withdraw) {
            check_pool_is_free(item);
        }
    }

    void check_pool_is_free(const pool_change& item) {
        for (const auto& entry : current_.upstreams) {
            if (entry.second.pool == item.id && find_kind(entry.first) != change_kind::withdraw) {
                fault(error_code::note_contradiction, item.place,
                      "pool " + item.id.value() + " still has upstream " + entry.first.value());
            }
        }
    }

    [[nodiscard]] std::optional<change_kind> find_kind(const base::upstream_id& id) const {
        for (const upstream_change& item : note_.upstreams) {
            if (item.id == id) {
                return item.kind;
            }
        }
        return std::nullopt;
    }

    void check_upstream(const upstream_change& item) {
        if (item.slots) {
            require(item.slots->value() >= 1 && item.slots->value() <= slots_limit, item.place,
                    "slots must be from 1 to 4096");
        }
        if (item.kind == change_kind::add) {
            require(item.pool.has_value(), item.place, "pool is missing");
            require(item.data_centre.has_value(), item.place, "data_centre is missing");
            require(item.address.has_value(), item.place, "address is missing");
            if (item.pool && !pool_after(*item.pool)) {
                fault(error_code::note_unknown_name, item.place,
                      "pool " + item.pool->value() + " does not exist after this note");
            }
        }
        if (item.kind == change_kind::change) {
            // A router that is cut off would go on sending work by the old values; only a withdrawal in two
            // revisions rules that out.
            require(!item.pool && !item.address, item.place,
                    "pool and address cannot change; withdraw the upstream and add another one");
            const auto found = current_.upstreams.find(item.id);
            if (found != current_.upstreams.end() && found->second.state == upstream_state::departing) {
                fault(error_code::note_contradiction, item.place,
                      "upstream " + item.id.value() + " is departing and can only be withdrawn");
            }
        }
    }

    /// Whether the pool exists after the note, and not only until its upstreams are gone.
    [[nodiscard]] bool pool_after(const base::pool_id& id) const {
        for (const pool_change& item : note_.pools) {
            if (item.id == id) {
                return item.kind != change_kind::withdraw;
            }
        }
        return current_.pools.count(id) != 0;
    }

    /// An address that two upstreams shared would get the work for the slots of both. It stays in use until
    /// the withdrawal of its upstream is complete.
    void check_addresses() {
        std::map<endpoint, base::upstream_id> users;
        for (const auto& entry : current_.upstreams) {
            users.emplace(entry.second.address, entry.first);
        }
        for (const upstream_change& item : note_.upstreams) {
            if (item.kind != change_kind::add || !item.address) {
                continue;
            }
            const auto inserted = users.emplace(*item.address, item.id);
            if (!inserted.second) {
                fault(error_code::note_contradiction, item.place,
                      "address " + to_string(*item.address) + " is in use by upstream " +
                          inserted.first->second.value());
            }
        }
    }

    const release_note& note_;
    const fleet_config& current_;
    std::vector<error> faults_;
};

template <typename T>
void assign(const std::optional<T>& value, T& target) {
    if (value) {
        target = *value;
    }
}

void apply_account(const account_change& item, fleet_config& config) {
    if (item.kind == change_kind::withdraw) {
        config.accounts.erase(item.id);
        return;
    }
    client_account& account = config.accounts[item.id];
    account.id = item.id;
    assign(item.share, account.share);
}

void apply_upstream(const upstream_change& item, fleet_config& config) {
    upstream& target = config.upstreams[item.id];
    if (item.kind == change_kind::withdraw) {
        if (target.state == upstream_state::departing) {
            config.upstreams.erase(item.id);
            return;
        }
        target.state = upstream_state::departing;
        target.departing_since = config.revision;
        return;
    }
    target.id = item.id;
    assign(item.pool, target.pool);
    assign(item.data_centre, target.data_centre);
    assign(item.address, target.address);
    assign(item.slots, target.slots);
    assign(item.checks_fence, target.checks_fence);
    assign(item.can_resume, target.can_resume);
}

bool has_upstreams(const fleet_config& config, const base::pool_id& id) {
    return std::any_of(config.upstreams.begin(), config.upstreams.end(),
                       [&](const auto& entry) { return entry.second.pool == id; });
}

void apply_pool(const pool_change& item, fleet_config& config) {
    if (item.kind == change_kind::withdraw) {
        if (!has_upstreams(config, item.id)) {
            config.pools.erase(item.id);
        }
        return;
    }
    pool& target = config.pools[item.id];
    target.id = item.id;
    assign(item.type, target.kind);
    assign(item.default_cost, target.default_cost);
}

} // namespace

std::vector<error> validate(const release_note& note, const fleet_config& current) {
    return note_check(note, current).run();
}

fleet_config apply(const release_note& note, const fleet_config& current) {
    fleet_config next = current;
    next.revision += base::revision(1);
    for (const account_change& item : note.accounts) {
        apply_account(item, next);
    }
    for (const upstream_change& item : note.upstreams) {
        apply_upstream(item, next);
    }
    for (const pool_change& item : note.pools) {
        apply_pool(item, next);
    }
    return next;
}

std::optional<release_note> remaining_withdrawals(const release_note& note, const fleet_config& current) {
    release_note rest;
    rest.author = note.author;
    rest.title = note.title;
    rest.place = note.place;
    for (const upstream_change& item : note.upstreams) {
        const auto found = current.upstreams.find(item.id);
        if (item.kind == change_kind::withdraw && found != current.upstreams.end() &&
            found->second.state == upstream_state::departing) {
            rest.upstreams.push_back(item);
        }
    }
    for (const pool_change& item : note.pools) {
        if (item.kind == change_kind::withdraw && current.pools.count(item.id) != 0) {
            rest.pools.push_back(item);
        }
    }
    if (rest.upstreams.empty() && rest.pools.empty()) {
        return std::nullopt;
    }
    return rest;
}

std::optional<base::revision> revision_to_acknowledge(const release_note& note, const fleet_config& current) {
    std::optional<base::revision> latest;
    for (const upstream_change& item : note.upstreams) {
        const auto found = current.upstreams.find(item.id);
        if (item.kind == change_kind::withdraw && found != current.upstreams.end() &&
            found->second.state == upstream_state::departing) {
            latest = std::max(latest.value_or(found->second.departing_since), found->second.departing_since);
        }
    }
    return latest;
}

error describe_conflict(const release_change& winner) {
    return error{error_code::note_conflict, "revision " + std::to_string(winner.revision.value()),
                 "operator " + winner.author.value() + " was first with change " + winner.change.value() +
                     " (" + winner.title + "), accepted as revision " +
                     std::to_string(winner.revision.value())};
}

bool release_gate::read(const release_read& what) {
    const bool newer = what.config && what.config->revision > in_force();
    if (newer) {
        config_ = what.config;
        // The event that brings a configuration is one source; only another one confirms it.
        if (!ready_) {
            ready_ = what.config->revision == highest_heard_;
        }
        highest_heard_ = std::max({highest_heard_, what.revision, what.config->revision});
        return true;
    }
    confirm(what.revision);
    return false;
}

std::optional<fetch_release> release_gate::heard(base::revision peer_in_force,
                                                 const std::optional<endpoint>& peer_admin,
                                                 base::time_point now) {
    confirm(peer_in_force);
    if (peer_in_force <= in_force() || (last_fetch_ && now - *last_fetch_ < fetch_interval)) {
        return std::nullopt;
    }
    last_fetch_ = now;
    return fetch_release{peer_in_force, peer_admin};
}

void release_gate::confirm(base::revision seen) {
    highest_heard_ = std::max(highest_heard_, seen);
    if (config_ && seen == in_force() && highest_heard_ == in_force()) {
        ready_ = true;
    }
}

base::revision release_gate::in_force() const {
    return config_ ? config_->revision : base::revision(0);
}

void confirmation::read(const release_read& what, base::revision in_force) {
    heard_at_ = std::max(heard_at_.value_or(what.read_at), what.read_at);
    if (what.source == config_source::store && what.revision == in_force) {
        confirmed_at_ = std::max(confirmed_at_.value_or(what.read_at), what.read_at);
    }
}

void confirmation::heard(base::time_point arrived, base::revision peer_in_force, base::duration peer_age,
                         base::revision in_force) {
    heard_at_ = std::max(heard_at_.value_or(arrived), arrived);
    if (peer_in_force != in_force || peer_age < base::duration::zero() || peer_age >= unconfirmed_age) {
        return;
    }
    const base::time_point seen = arrived - peer_age;
    confirmed_at_ = std::max(confirmed_at_.value_or(seen), seen);
}

base::duration confirmation::age(base::time_point now) const {
    return confirmed_at_ ? std::min(now - *confirmed_at_, unconfirmed_age) : unconfirmed_age;
}

send_permission confirmation::may_send(const upstream& target, base::time_point now) const {
    const bool silent = !heard_at_ || now - *heard_at_ >= limit;
    if (silent && known_peers_ > 0) {
        return send_permission::isolated;
    }
    if (target.state == upstream_state::departing && age(now) >= limit) {
        return send_permission::unconfirmed;
    }
    return send_permission::allowed;
}

bool confirmation::read_due(bool has_departing, base::time_point now) {
    const bool silent = !heard_at_ || now - *heard_at_ >= read_interval;
    const bool aging = has_departing && age(now) >= read_interval;
    if ((!silent && !aging) || (read_ordered_at_ && now - *read_ordered_at_ < read_interval)) {
        return false;
    }
    read_ordered_at_ = now;
    return true;
}

} // namespace bluebell::decision
