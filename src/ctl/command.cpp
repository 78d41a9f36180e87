#include "ctl/command.h"

#include "base/clock.h"
#include "base/log.h"
#include "store/note.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <optional>
#include <random>
#include <thread>
#include <utility>

namespace bluebell::ctl {
namespace {

using base::error_code;

constexpr base::duration poll_interval = std::chrono::milliseconds(200);
constexpr base::duration top_interval = std::chrono::seconds(1);

base::change_id make_change_id() {
    std::random_device device;
    const std::uint64_t high = (std::uint64_t{device()} << 32U) | device();
    const std::uint64_t low = (std::uint64_t{device()} << 32U) | device();
    return base::change_id(base::to_hex({high, low}));
}

exit_code to_exit_code(error_code code) {
    switch (code) {
    case error_code::note_conflict:
    case error_code::store_conflict:
        return exit_code::conflict;
    case error_code::release_not_in_force:
        return exit_code::incomplete;
    case error_code::store_answer_lost:
        return exit_code::unknown;
    case error_code::store_unavailable:
    case error_code::store_rate_limited:
    case error_code::store_malformed:
    case error_code::store_not_found:
    case error_code::not_ready:
        return exit_code::failed;
    default:
        return exit_code::refused;
    }
}

/// Returns a hint on how an operator can resolve an error.
const char* advice(exit_code code) {
    switch (code) {
    case exit_code::failed:
        return "check the address of the store and that store and routers run, then try again";
    case exit_code::refused:
        return "correct the faults and try again; nothing was changed";
    case exit_code::conflict:
        return "look at the other change with 'bluebellctl releases'; apply the note again if it still fits";
    case exit_code::incomplete:
        return "replace or reconnect the routers named above, then apply the note again";
    case exit_code::unknown:
        return "look with 'bluebellctl releases' whether the change was accepted before you try again";
    case exit_code::done:
        break;
    }
    return "";
}

std::string join(const std::vector<base::vm_id>& vms) {
    std::string text;
    for (const base::vm_id& vm : vms) {
        text += (text.empty() ? "" : ", ") + vm.value();
    }
    return text;
}

std::string describe(const decision::client_account& account) {
    return "client_account " + account.id.value() + " share=" + std::to_string(account.share.value());
}

std::string describe(const decision::pool& pool) {
    return "pool " + pool.id.value() +
           " kind=" + (pool.kind == decision::pool_kind::model ? "model" : "service") +
           " default_cost=" + std::to_string(pool.default_cost.value());
}

std::string describe(const decision::upstream& upstream) {
    return "upstream " + upstream.id.value() + " pool=" + upstream.pool.value() +
           " data_centre=" + upstream.data_centre.value() + " address=" + to_string(upstream.address) +
           " slots=" + std::to_string(upstream.slots.value()) +
           (upstream.state == decision::upstream_state::departing ? " departing" : "") +
           (upstream.checks_fence ? "" : " checks_fence=no") + (upstream.can_resume ? "" : " can_resume=no");
}

/// Prints removed entries as `- old`, added ones as `+ new`, and changed ones as both.
template <typename Map>
void print_difference(std::ostream& out, const Map& before, const Map& after) {
    for (const auto& [id, value] : before) {
        const auto found = after.find(id);
        if (found == after.end() || describe(found->second) != describe(value)) {
            out << "- " << describe(value) << '\n';
        }
    }
    for (const auto& [id, value] : after) {
        const auto found = before.find(id);
        if (found == before.end() || describe(found->second) != describe(value)) {
            out << "+ " << describe(value) << '\n';
        }
    }
}

} // namespace

commands::commands(const command_options& options, std::ostream& out, std::ostream& err)
    : options_(options), out_(out), err_(err), store_(options.store, {}), fleet_(options.store, {}),
      publisher_(store_, fleet_, {}) {}

exit_code commands::report(const std::vector<base::error>& errors) {
    exit_code code = exit_code::failed;
    for (const base::error& error : errors) {
        // A note that lost a race is often invalid against the winner's configuration as well; the conflict
        // decides the exit code.
        code = code == exit_code::conflict ? code : to_exit_code(error.code);
        if (options_.json) {
            out_ << "{\"error\":{\"code\":" << base::json_quote(to_string(error.code))
                 << ",\"place\":" << base::json_quote(error.location)
                 << ",\"message\":" << base::json_quote(error.text) << "}}\n";
        } else {
            err_ << (error.location.empty() ? "bluebellctl" : error.location) << ": " << error.code << ": "
                 << error.text << '\n';
        }
    }
    err_ << "hint: " << advice(code) << '\n';
    return code;
}

tl::expected<decision::release_note, exit_code> commands::read_note(const std::string& file) {
    std::ifstream in(file);
    if (!in) {
        return tl::unexpected<exit_code>(report({{error_code::note_malformed, file, std::strerror(errno)}}));
    }
    tl::expected<decision::release_note, std::vector<base::error>> note = store::parse_note(in, file);
    if (!note) {
        return tl::unexpected<exit_code>(report(note.error()));
    }
    return std::move(*note);
}

tl::expected<commands::image_pointer, exit_code> commands::read_release() {
    base::result<image_pointer> image = publisher_.read();
    if (!image) {
        return tl::unexpected<exit_code>(report({image.error()}));
    }
    return std::move(*image);
}

exit_code commands::validate(const std::string& file) {
    const tl::expected<decision::release_note, exit_code> note = read_note(file);
    if (!note) {
        return note.error();
    }
    const tl::expected<image_pointer, exit_code> image = read_release();
    if (!image) {
        return image.error();
    }
    const std::vector<base::error> errors = decision::validate(*note, *(*image)->config);
    if (!errors.empty()) {
        return report(errors);
    }
    out_ << (options_.json ? "{\"valid\":true}\n" : "the note is valid\n");
    return exit_code::done;
}

exit_code commands::diff(const std::string& file) {
    const tl::expected<decision::release_note, exit_code> note = read_note(file);
    if (!note) {
        return note.error();
    }
    const tl::expected<image_pointer, exit_code> image = read_release();
    if (!image) {
        return image.error();
    }
    const decision::fleet_config& before = *(*image)->config;
    const std::vector<base::error> errors = decision::validate(*note, before);
    if (!errors.empty()) {
        return report(errors);
    }
    const decision::fleet_config after = decision::apply(*note, before);
    out_ << "revision " << before.revision << " to " << after.revision << '\n';
    print_difference(out_, before.pools, after.pools);
    print_difference(out_, before.upstreams, after.upstreams);
    print_difference(out_, before.accounts, after.accounts);
    return exit_code::done;
}

void commands::print_accepted(const decision::release_change& change) {
    if (options_.json) {
        out_ << "{\"accepted\":" << change.revision
             << ",\"operator\":" << base::json_quote(change.author.value())
             << ",\"title\":" << base::json_quote(change.title) << "}\n";
    } else {
        out_ << "revision " << change.revision << " accepted: " << change.title << '\n';
    }
}

tl::expected<store::published_release, exit_code> commands::publish(const decision::release_note& note) {
    tl::expected<store::published_release, std::vector<base::error>> published =
        publisher_.publish(note, make_change_id());
    if (!published) {
        return tl::unexpected<exit_code>(report(published.error()));
    }
    print_accepted(published->change);
    return std::move(*published);
}

exit_code commands::apply(const std::string& file) {
    const tl::expected<decision::release_note, exit_code> note = read_note(file);
    if (!note) {
        return note.error();
    }
    std::optional<decision::release_note> next = *note;
    while (next) {
        const tl::expected<store::published_release, exit_code> published = publish(*next);
        if (!published) {
            return published.error();
        }
        const exit_code code = wait_in_force(published->change.revision);
        if (code != exit_code::done) {
            return code;
        }
        // The published revision marks the upstreams to withdraw as departing; a second one withdraws them.
        next = decision::remaining_withdrawals(*note, *published->config);
    }
    return exit_code::done;
}

exit_code commands::wait_in_force(base::revision revision) {
    const base::steady_clock clock;
    const base::time_point end = clock.now() + options_.wait;
    std::string printed;
    while (true) {
        const base::result<std::vector<base::vm_id>> behind = fleet_.behind(revision);
        if (behind && behind->empty()) {
            out_ << (options_.json ? "{\"in_force\":" : "revision ") << revision
                 << (options_.json ? "}\n" : " is in force on every router\n");
            return exit_code::done;
        }
        const std::string awaited = behind ? join(*behind) : behind.error().text;
        if (awaited != printed) {
            err_ << "waiting for " << awaited << '\n';
            printed = awaited;
        }
        if (clock.now() >= end) {
            return report({{error_code::release_not_in_force, "revision " + std::to_string(revision.value()),
                            "accepted, but not in force on: " + awaited}});
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

void commands::print_router(const decision::vm_entry& router, base::revision expected) {
    out_ << router.vm << '\t' << router.data_centre << '\t';
    const base::result<base::revision> in_force = fleet_.in_force(router);
    if (!in_force) {
        out_ << in_force.error().text << '\n';
        return;
    }
    out_ << "revision " << *in_force << (*in_force < expected ? " (behind)" : "") << '\t'
         << (fleet_.fetch(router, "/readyz") ? "ready" : "not ready") << (router.leaving ? "\tleaving" : "")
         << '\n';
}

void commands::print_router_json(const decision::vm_entry& router) {
    const base::result<std::string> status = fleet_.fetch(router, "/status");
    out_ << "{\"vm\":" << base::json_quote(router.vm.value())
         << ",\"leaving\":" << (router.leaving ? "true" : "false")
         << ",\"status\":" << (status ? *status : "null") << '}';
}

exit_code commands::status() {
    const tl::expected<image_pointer, exit_code> image = read_release();
    if (!image) {
        return image.error();
    }
    const base::result<std::vector<decision::vm_entry>> routers = fleet_.routers();
    if (!routers) {
        return report({routers.error()});
    }
    const decision::fleet_config& config = *(*image)->config;
    if (options_.json) {
        out_ << "{\"revision\":" << config.revision << ",\"routers\":[";
        for (std::size_t i = 0; i < routers->size(); ++i) {
            out_ << (i == 0 ? "" : ",");
            print_router_json((*routers)[i]);
        }
        out_ << "]}\n";
        return exit_code::done;
    }
    out_ << "revision " << config.revision << ": " << config.accounts.size() << " client accounts, "
         << config.pools.size() << " pools, " << config.upstreams.size() << " upstreams\n";
    for (const decision::vm_entry& router : *routers) {
        print_router(router, config.revision);
    }
    return exit_code::done;
}

exit_code commands::releases() {
    const tl::expected<image_pointer, exit_code> image = read_release();
    if (!image) {
        return image.error();
    }
    for (const decision::release_change& change : (*image)->head.changes) {
        if (options_.json) {
            out_ << "{\"revision\":" << change.revision
                 << ",\"operator\":" << base::json_quote(change.author.value())
                 << ",\"change\":" << base::json_quote(change.change.value())
                 << ",\"title\":" << base::json_quote(change.title) << "}\n";
        } else {
            out_ << change.revision << '\t' << change.author << '\t' << change.title << '\n';
        }
    }
    return exit_code::done;
}

exit_code commands::drain(const base::vm_id& vm) {
    const base::result<decision::vm_entry> router = fleet_.find(vm);
    if (!router) {
        return report({router.error()});
    }
    const base::result<void> drained = fleet_.drain(*router);
    if (!drained) {
        return report({drained.error()});
    }
    out_ << (options_.json ? "{\"draining\":" + base::json_quote(vm.value()) + "}" : vm.value() + " drains")
         << '\n';
    return exit_code::done;
}

exit_code commands::dump(const base::vm_id& vm) {
    const base::result<decision::vm_entry> router = fleet_.find(vm);
    if (!router) {
        return report({router.error()});
    }
    const base::result<std::string> text = fleet_.fetch(*router, "/dump");
    if (!text) {
        return report({text.error()});
    }
    out_ << *text << '\n';
    return exit_code::done;
}

exit_code commands::top(int rounds) {
    for (int round = 0; round < rounds; ++round) {
        if (round > 0) {
            std::this_thread::sleep_for(top_interval);
        }
        const exit_code code = status();
        if (code != exit_code::done) {
            return code;
        }
    }
    return exit_code::done;
}

} // namespace bluebell::ctl
