#pragma once

#include "decision/config.h"
#include "decision/exchange.h"
#include "decision/journal.h"
#include "decision/lease.h"
#include "decision/message.h"
#include "decision/request.h"

#include "base/ring.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bluebell::decision {

/// What the decider is told. Every event arrives over its bounded ring.

struct request_arrived {
    request attributes;
    std::shared_ptr<exchange> caller_exchange;
};

struct caller_gone {
    base::request_id id;
};

struct attempt_key {
    base::request_id id;
    base::attempt_number number;

    friend bool operator==(const attempt_key& a, const attempt_key& b) {
        return a.id == b.id && a.number == b.number;
    }
    friend bool operator<(const attempt_key& a, const attempt_key& b) {
        return a.id != b.id ? a.id < b.id : a.number < b.number;
    }
};

/// The answer goes on; `spent` is the cost of the attempt so far.
struct attempt_progress {
    attempt_key attempt;
    base::cost spent;
};

struct attempt_ended {
    attempt_key attempt;
    attempt_end result;
};

struct message_received {
    envelope payload;
    endpoint from;
};

enum class config_source { store, peer };

/// The release head was read. `config` is the newest configuration that the reader has, if any; it comes with
/// every event, so that a decider that was restarted gets it too. A stale read has a lower `rev`.
struct release_read {
    base::revision revision;
    std::shared_ptr<const fleet_config> config;
    config_source source = config_source::store;
    /// Time just before the read was sent.
    base::time_point read_at;
};

struct store_failed {
    base::error cause;
};

struct vm_entry {
    base::vm_id vm;
    base::data_centre_id data_centre;
    /// Where the router on the VM takes control messages.
    endpoint control;
    /// Where the router on the VM takes admin requests.
    endpoint admin;
    bool leaving = false;
    /// Processor time that the VM has, in cores; zero if unknown.
    double cpu_cores = 0;
};

struct vms_listed {
    std::vector<vm_entry> vms;
};

struct upstream_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    base::slot_count slots;
};

struct load_reported {
    base::upstream_id upstream;
    upstream_load load;
    base::time_point read_at;
};

/// Answer to a `journal_update` or `journal_takeover`.
struct journal_answered {
    base::partition_id partition;
    /// Repeats that of the command.
    std::uint64_t ticket = 0;
    /// The tail as it now stands in the store, with its version, if it is known.
    std::optional<journal_tail> tail;
    base::object_version version;
    /// Records of the sealed segments; filled after a takeover only.
    std::vector<journal_record> sealed;
    std::optional<base::error> cause;
};

struct drain_requested {};

/// A snapshot of the decision state, by section, for dump, status and metrics.
struct state_value {
    std::string name;
    /// JSON text of the value.
    std::string json;
};
struct state_section {
    std::string name;
    std::vector<state_value> values;
};
using state_report = std::vector<state_section>;

struct report_requested {
    std::shared_ptr<base::ring<state_report>> reply;
};

/// Asks the thread that takes `events` for its report. Errors: `not_ready` if it does not answer in time.
/// Thread safety: any thread but that one.
template <typename Event>
base::result<state_report> ask_report(base::ring<Event>& events, base::duration timeout) {
    const std::shared_ptr<base::ring<state_report>> reply = std::make_shared<base::ring<state_report>>(1);
    if (events.push(report_requested{reply}, timeout) != base::push_result::pushed) {
        return base::failure(base::error_code::not_ready, "decider", "the decider does not take requests");
    }
    std::optional<state_report> report = reply->pop(timeout);
    if (!report) {
        return base::failure(base::error_code::not_ready, "decider", "the decider did not answer in time");
    }
    return std::move(*report);
}

using event = std::variant<request_arrived, caller_gone, attempt_progress, attempt_ended, message_received,
                           release_read, store_failed, vms_listed, load_reported, journal_answered,
                           lease_answered, drain_requested, report_requested>;

} // namespace bluebell::decision
