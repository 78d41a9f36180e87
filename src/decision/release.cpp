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

/// Collects the errors of one note.
class note_validator {
public:
    note_validator(const release_note& note, const fleet_config& current) : note_(note), current_(current) {}

    std::vector<error> validate() {
        check_note();
        check_names("client account", note_.accounts, current_.accounts);
        check_names("pool", note_.pools, current_.pools);
        check_names("upstream", note_.upstreams, current_.upstreams);
        for (const account_change& change : note_.accounts) {
            check_account(change);
        }
        for (const pool_change& change : note_.pools) {
            check_pool(change);
        }
        for (const upstream_change& change : note_.upstreams) {
            check_upstream(change);
        }
        check_addresses();
        return std::move(errors_);
    }

private:
    void add_error(error_code code, const std::string& place, std::string text) {
        errors_.push_back(error{code, place, std::move(text)});
    }

    void require(bool condition, const std::string& place, const std::string& text) {
        if (!condition) {
            add_error(error_code::note_invalid_value, place, text);
        }
    }

    void check_note() {
        require(is_name(note_.author.value()), note_.location, "operator is not a valid name");
        if (note_.accounts.empty() && note_.pools.empty() && note_.upstreams.empty()) {
            add_error(error_code::note_malformed, note_.location, "the note changes nothing");
        }
        if (note_.base_revision && *note_.base_revision != current_.revision) {
            add_error(error_code::note_conflict, note_.location,
                      "base_revision is " + std::to_string(note_.base_revision->value()) + ", but revision " +
                          std::to_string(current_.revision.value()) + " is in force");
        }
    }

    template <typename Change, typename Table>
    void check_names(const std::string& kind_name, const std::vector<Change>& changes, const Table& table) {
        std::map<std::string, std::string> first_places;
        for (const Change& change : changes) {
            const std::string& name = change.id.value();
            const bool exists = table.count(change.id) != 0;
            require(is_name(name), change.location,
                    "a name has 1 to " + std::to_string(name_limit) + " of the characters A-Z a-z 0-9 - _ .");
            const auto inserted = first_places.emplace(name, change.location);
            if (!inserted.second) {
                add_error(error_code::note_duplicate_name, change.location,
                          kind_name + " " + name + " is already named at " + inserted.first->second);
            } else if (change.kind == change_kind::add && exists) {
                add_error(error_code::note_duplicate_name, change.location,
                          kind_name + " " + name + " exists already");
            } else if (change.kind != change_kind::add && !exists) {
                add_error(error_code::note_unknown_name, change.location,
                          kind_name + " " + name + " does not exist");
            }
        }
    }

    void check_account(const account_change& change) {
        if (change.share) {
            const double share = change.share->value();
            require(std::isfinite(share) && share > 0 && share <= share_limit, change.location,
                    "share must be above 0 and at most 1000000");
        }
    }

    void check_pool(const pool_change& change) {
        if (change.default_cost) {
            const double cost = change.default_cost->value();
            require(std::isfinite(cost) && cost > 0 && cost <= default_cost_limit, change.location,
                    "default_cost must be above 0 and at most 1000000000");
        }
        // The cost of a model is counted in tokens, that of a service in ms. A change of kind would mix both
        // units in the charged service.
        require(change.kind != change_kind::change || !change.type, change.location,
                "kind cannot change; withdraw the pool and add another one");
        if (change.kind == change_kind::withdraw) {
            check_pool_is_free(change);
        }
    }

    void check_pool_is_free(const pool_change& change) {
        for (const auto& entry : current_.upstreams) {
            if (entry.second.pool == change.id && find_kind(entry.first) != change_kind::withdraw) {
                add_error(error_code::note_contradiction, change.location,
                          "pool " + change.id.value() + " still has upstream " + entry.first.value());
            }
        }
    }

    [[nodiscard]] std::optional<change_kind> find_kind(const base::upstream_id& id) const {
        for (const upstream_change& change : note_.upstreams) {
            if (change.id == id) {
                return change.kind;
            }
        }
        return std::nullopt;
    }

    void check_upstream(const upstream_change& change) {
        if (change.slots) {
            require(change.slots->value() >= 1 && change.slots->value() <= slots_limit, change.location,
                    "slots must be from 1 to 4096");
        }
        if (change.kind == change_kind::add) {
            require(change.pool.has_value(), change.location, "pool is missing");
            require(change.data_centre.has_value(), change.location, "data_centre is missing");
            require(change.address.has_value(), change.location, "address is missing");
            if (change.pool && !pool_after(*change.pool)) {
                add_error(error_code::note_unknown_name, change.location,
                          "pool " + change.pool->value() + " does not exist after this note");
            }
        }
        if (change.kind == change_kind::change) {
            // A router that is cut off would continue to send work by the old values; only a withdrawal in
            // two revisions rules that out.
            require(!change.pool && !change.address, change.location,
                    "pool and address cannot change; withdraw the upstream and add another one");
            const auto found = current_.upstreams.find(change.id);
            if (found != current_.upstreams.end() && found->second.state == upstream_state::departing) {
                add_error(error_code::note_contradiction, change.location,
                          "upstream " + change.id.value() + " is departing and can only be withdrawn");
            }
        }
    }

    /// Returns true if the pool exists after the note and does not merely remain until its upstreams are
    /// gone.
    [[nodiscard]] bool pool_after(const base::pool_id& id) const {
        for (const pool_change& change : note_.pools) {
            if (change.id == id) {
                return change.kind != change_kind::withdraw;
            }
        }
        return current_.pools.count(id) != 0;
    }

    /// Reports addresses that are in use. An address that two upstreams shared would get the work for the
    /// slots of both. It stays in use until the withdrawal of its upstream is complete.
    void check_addresses() {
        std::map<endpoint, base::upstream_id> users;
        for (const auto& entry : current_.upstreams) {
            users.emplace(entry.second.address, entry.first);
        }
        for (const upstream_change& change : note_.upstreams) {
            if (change.kind != change_kind::add || !change.address) {
                continue;
            }
            const auto inserted = users.emplace(*change.address, change.id);
            if (!inserted.second) {
                add_error(error_code::note_contradiction, change.location,
                          "address " + to_string(*change.address) + " is in use by upstream " +
                              inserted.first->second.value());
            }
        }
    }

    const release_note& note_;
    const fleet_config& current_;
    std::vector<error> errors_;
};

template <typename T>
void assign(const std::optional<T>& value, T& target) {
    if (value) {
        target = *value;
    }
}

void apply_account(const account_change& change, fleet_config& config) {
    if (change.kind == change_kind::withdraw) {
        config.accounts.erase(change.id);
        return;
    }
    client_account& account = config.accounts[change.id];
    account.id = change.id;
    assign(change.share, account.share);
}

void apply_upstream(const upstream_change& change, fleet_config& config) {
    upstream& target = config.upstreams[change.id];
    if (change.kind == change_kind::withdraw) {
        if (target.state == upstream_state::departing) {
            config.upstreams.erase(change.id);
            return;
        }
        target.state = upstream_state::departing;
        target.departing_since = config.revision;
        return;
    }
    target.id = change.id;
    assign(change.pool, target.pool);
    assign(change.data_centre, target.data_centre);
    assign(change.address, target.address);
    assign(change.slots, target.slots);
    assign(change.checks_fence, target.checks_fence);
    assign(change.can_resume, target.can_resume);
}

bool has_upstreams(const fleet_config& config, const base::pool_id& id) {
    return std::any_of(config.upstreams.begin(), config.upstreams.end(),
                       [&](const auto& entry) { return entry.second.pool == id; });
}

void apply_pool(const pool_change& change, fleet_config& config) {
    if (change.kind == change_kind::withdraw) {
        if (!has_upstreams(config, change.id)) {
            config.pools.erase(change.id);
        }
        return;
    }
    pool& target = config.pools[change.id];
    target.id = change.id;
    assign(change.type, target.kind);
    assign(change.default_cost, target.default_cost);
}

} // namespace

std::vector<error> validate(const release_note& note, const fleet_config& current) {
    return note_validator(note, current).validate();
}

fleet_config apply(const release_note& note, const fleet_config& current) {
    fleet_config next = current;
    next.revision += base::revision(1);
    for (const account_change& change : note.accounts) {
        apply_account(change, next);
    }
    for (const upstream_change& change : note.upstreams) {
        apply_upstream(change, next);
    }
    for (const pool_change& change : note.pools) {
        apply_pool(change, next);
    }
    return next;
}

std::optional<release_note> remaining_withdrawals(const release_note& note, const fleet_config& current) {
    release_note remaining;
    remaining.author = note.author;
    remaining.title = note.title;
    remaining.location = note.location;
    for (const upstream_change& change : note.upstreams) {
        const auto found = current.upstreams.find(change.id);
        if (change.kind == change_kind::withdraw && found != current.upstreams.end() &&
            found->second.state == upstream_state::departing) {
            remaining.upstreams.push_back(change);
        }
    }
    for (const pool_change& change : note.pools) {
        if (change.kind == change_kind::withdraw && current.pools.count(change.id) != 0) {
            remaining.pools.push_back(change);
        }
    }
    if (remaining.upstreams.empty() && remaining.pools.empty()) {
        return std::nullopt;
    }
    return remaining;
}

std::optional<base::revision> revision_to_acknowledge(const release_note& note, const fleet_config& current) {
    std::optional<base::revision> latest;
    for (const upstream_change& change : note.upstreams) {
        const auto found = current.upstreams.find(change.id);
        if (change.kind == change_kind::withdraw && found != current.upstreams.end() &&
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

bool release_gate::on_release_read(const release_read& read_result) {
    const bool newer = read_result.config && read_result.config->revision > in_force();
    if (newer) {
        config_ = read_result.config;
        // The event that brings a configuration is one source; only a second one confirms it.
        if (!ready_) {
            ready_ = read_result.config->revision == highest_known_;
        }
        highest_known_ = std::max({highest_known_, read_result.revision, read_result.config->revision});
        return true;
    }
    record_seen_revision(read_result.revision);
    return false;
}

std::optional<fetch_release> release_gate::on_peer_revision(base::revision peer_in_force,
                                                            const std::optional<endpoint>& peer_admin,
                                                            base::time_point now) {
    record_seen_revision(peer_in_force);
    if (peer_in_force <= in_force() || (last_fetch_at_ && now - *last_fetch_at_ < fetch_interval)) {
        return std::nullopt;
    }
    last_fetch_at_ = now;
    return fetch_release{peer_in_force, peer_admin};
}

void release_gate::record_seen_revision(base::revision seen) {
    highest_known_ = std::max(highest_known_, seen);
    if (config_ && seen == in_force() && highest_known_ == in_force()) {
        ready_ = true;
    }
}

base::revision release_gate::in_force() const {
    return config_ ? config_->revision : base::revision(0);
}

void confirmation::on_release_read(const release_read& read_result, base::revision in_force) {
    last_contact_at_ = std::max(last_contact_at_.value_or(read_result.read_at), read_result.read_at);
    if (read_result.source == config_source::store && read_result.revision == in_force) {
        confirmed_at_ = std::max(confirmed_at_.value_or(read_result.read_at), read_result.read_at);
    }
}

void confirmation::on_peer_message(base::time_point arrived, base::revision peer_in_force,
                                   base::duration peer_age, base::revision in_force) {
    last_contact_at_ = std::max(last_contact_at_.value_or(arrived), arrived);
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
    const bool silent = !last_contact_at_ || now - *last_contact_at_ >= limit;
    if (silent && known_peers_ > 0) {
        return send_permission::isolated;
    }
    if (target.state == upstream_state::departing && age(now) >= limit) {
        return send_permission::unconfirmed;
    }
    return send_permission::allowed;
}

bool confirmation::read_due(bool has_departing, base::time_point now) {
    const bool silent = !last_contact_at_ || now - *last_contact_at_ >= read_interval;
    const bool aging = has_departing && age(now) >= read_interval;
    if ((!silent && !aging) || (read_ordered_at_ && now - *read_ordered_at_ < read_interval)) {
        return false;
    }
    read_ordered_at_ = now;
    return true;
}

} // namespace bluebell::decision
