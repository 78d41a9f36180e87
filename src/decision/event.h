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

// Events that the decider handles. They arrive over its bounded ring.

/// A caller sent a request.
struct request_arrived {
    request attributes;
    std::shared_ptr<exchange> caller_exchange;
};

/// The caller of a request closed its connection.
struct caller_gone {
    base::request_id id;
};

/// Identifies one attempt of one request.
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

/// A part of the answer of an attempt arrived.
struct attempt_progress {
    attempt_key attempt;
    /// Cost of the attempt so far.
    base::cost spent;
};

/// An attempt ended; sent once for each `dispatch` command.
struct attempt_ended {
    attempt_key attempt;
    attempt_end result;
};

/// A control message arrived from the address `from`.
struct message_received {
    envelope payload;
    endpoint from;
};

/// Where the release head was read.
enum class config_source { store, peer };

/// The release head was read. `config` is the newest configuration that the reader has, if any; every event
/// carries it, so that a restarted decider receives it as well. A stale read has a `revision` below that of
/// `config`.
struct release_read {
    base::revision revision;
    std::shared_ptr<const fleet_config> config;
    config_source source = config_source::store;
    /// Time just before the read was sent.
    base::time_point read_at;
};

/// A read or watch of the release head in the store failed.
struct store_failed {
    base::error cause;
};

/// A VM in the list of VMs.
struct vm_entry {
    base::vm_id vm;
    base::data_centre_id data_centre;
    /// Address at which the router on the VM receives control messages.
    endpoint control;
    /// Address at which the router on the VM accepts admin requests.
    endpoint admin;
    /// Set if the VM list marks the VM as leaving.
    bool leaving = false;
    /// Processor capacity of the VM, in cores; zero if unknown.
    double cpu_cores = 0;
};

/// The list of VMs was read.
struct vms_listed {
    std::vector<vm_entry> vms;
};

/// Load that an upstream reports: numbers of running and waiting requests, and its slots.
struct upstream_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    base::slot_count slots;
};

/// The load of an upstream was polled.
struct load_reported {
    base::upstream_id upstream;
    upstream_load load;
    /// Time at which the poll was started.
    base::time_point read_at;
};

/// Result of a `journal_update` or `journal_takeover` command.
struct journal_answered {
    base::partition_id partition;
    /// The ticket of the command.
    std::uint64_t ticket = 0;
    /// Current tail in the store, if known; `version` is its version.
    std::optional<journal_tail> tail;
    base::object_version version;
    /// Records of the sealed segments; set after a takeover only.
    std::vector<journal_record> sealed;
    std::optional<base::error> cause;
};

/// The router is to drain.
struct drain_requested {
    /// When the process was told to stop; empty if that is now.
    std::optional<base::time_point> signalled_at;
};

/// One named value of a state report.
struct state_value {
    std::string name;
    /// JSON text of the value.
    std::string json;
};
/// Related values of a state report.
struct state_section {
    std::string name;
    std::vector<state_value> values;
};
/// Snapshot of the decision state, by section, for dump, status and metrics.
using state_report = std::vector<state_section>;

/// A state report is to be pushed to `reply`.
struct report_requested {
    std::shared_ptr<base::ring<state_report>> reply;
};

/// Requests a state report from the thread that consumes `events`, and waits for it. Each of the two steps
/// takes up to `timeout`. Errors: `not_ready` if the thread does not take the request or does not reply in
/// time.
/// Thread safety: may be called by any thread but the consumer of `events`.
template <typename Event>
base::result<state_report> request_report(base::ring<Event>& events, base::duration timeout) {
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
