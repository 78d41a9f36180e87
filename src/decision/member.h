#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/event.h"
#include "decision/message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace bluebell::decision {

struct member_settings {
    base::vm_id self;
    /// Start number of this process; a later start has a higher one.
    base::incarnation life;
    endpoint address;
    base::duration probe_period = std::chrono::milliseconds(500);
    /// A probe without acknowledgement for this long is repeated through other members. Leaves room for a
    /// round trip between regions, and for the indirect probe within the period.
    base::duration ack_timeout = std::chrono::milliseconds(250);
    base::duration suspicion_time = std::chrono::seconds(2);
    /// A dead member that the VM list no longer shows is forgotten after this time.
    base::duration dead_retention = std::chrono::minutes(1);
    /// Up to this number of members, self included, every member is probed in each period.
    std::size_t probe_all_limit = 16;
    std::size_t indirect_probes = 3;
    /// Peers that are told at once of a new revision or a refutation.
    std::size_t spread_fanout = 4;
    /// Member updates on one message; 24 of them take about 700 bytes.
    std::size_t updates_per_message = 24;
    /// An update is sent this many times the decimal logarithm of the member count.
    std::size_t spread_factor = 4;
    std::uint64_t seed = 1;
};

enum class member_change_kind { joined, left, restarted };
std::string_view to_string(member_change_kind kind);

struct member_change {
    member_change_kind kind = member_change_kind::joined;
    base::vm_id vm;
    base::incarnation life;
};

/// What is known of one member, for status and dump.
struct member_info {
    base::vm_id vm;
    base::data_centre_id data_centre;
    base::incarnation life;
    liveness state = liveness::alive;
    bool leaving = false;
    /// The VM list shows the VM.
    bool listed = false;
    endpoint control;
    endpoint admin;
    base::revision in_force;
    /// A time at which the member was certainly running, from the last answered probe.
    std::optional<base::time_point> heard;
    /// A time at which the member's view of the release head was certainly confirmed.
    std::optional<base::time_point> confirmed;
};

/// Member table of one router: SWIM probing, suspicion, refutation and spreading of updates.
///
/// `heard` and `confirmed` count from the time our probe was sent, not from the time the answer was read: a
/// router that was paused reads datagrams of unknown age from its socket, and these must not look fresh.
///
/// Thread safety: used by one thread. Errors: none are thrown.
class member {
public:
    /// Pre-condition: `self` and `address` of the settings are not empty.
    member(member_settings settings, base::time_point now);

    /// Takes the VM list, which adds candidates, marks leaving VMs and lets dead members be forgotten. A VM
    /// missing from the list stays a member for as long as it answers probes.
    void list(const std::vector<vm_entry>& vms, base::time_point now);

    /// Takes every message, of any kind, before other modules do. Errors: `message_unknown_sender` (not a
    /// live member), `message_stale_incarnation` (an earlier life of the sender). The caller passes the
    /// message on to other modules only on success.
    base::result<void> receive(const envelope& what, base::time_point now);

    /// Does what is due. Pre-condition: called at least as often as `next_due` says; a late call is taken as
    /// a pause of this process and blames no peer.
    void tick(base::time_point now);
    [[nodiscard]] base::time_point next_due() const { return next_due_; }

    /// A higher revision is in force here; it is told to a few random peers at once.
    void put_in_force(base::revision rev, base::time_point now);
    /// This router is draining and takes no new ownership. Cannot be taken back.
    void announce_leaving(base::time_point now);
    /// This router stops now; a few peers are told, so that no suspicion time passes.
    void depart(base::time_point now);

    /// Messages to send since the last call.
    [[nodiscard]] std::vector<outgoing> take_outgoing();
    /// Changes since the last call.
    [[nodiscard]] std::vector<member_change> take_changes();

    [[nodiscard]] const base::vm_id& self() const { return settings_.self; }
    /// Incarnation for the header of outgoing messages. Grows if peers remember a higher one, which happens
    /// when the wall clock that numbered this start was set back.
    [[nodiscard]] base::incarnation life() const { return settings_.life; }
    [[nodiscard]] base::revision in_force() const { return in_force_; }
    /// Live members in order, suspects and self included.
    [[nodiscard]] const std::vector<base::vm_id>& live() const { return live_; }
    /// Live members that may own upstreams, homes and partitions: those not leaving, or all live ones if
    /// every one is leaving.
    [[nodiscard]] const std::vector<base::vm_id>& owners() const { return owners_; }
    [[nodiscard]] bool is_live(const base::vm_id& vm) const;
    /// Where to send control messages for `vm`; also known for candidates that are not members.
    [[nodiscard]] std::optional<endpoint> control_address(const base::vm_id& vm) const;
    [[nodiscard]] std::optional<endpoint> admin_address(const base::vm_id& vm) const;
    /// Up to `count` different live peers, chosen at random.
    [[nodiscard]] std::vector<base::vm_id> random_peers(std::size_t count);
    /// Number of VMs that the VM list shows as not leaving or that are live; `n` of the partition rule.
    [[nodiscard]] std::size_t known_count() const;
    /// Some other member is known, live or not. A router without any is not isolated but alone.
    [[nodiscard]] bool knows_peers() const;
    /// Latest time at which some peer was certainly running and reachable.
    [[nodiscard]] std::optional<base::time_point> peer_heard() const { return peer_heard_; }
    /// Latest time at which the release head was certainly read by a peer or by one that it heard.
    [[nodiscard]] std::optional<base::time_point> peer_confirmed() const { return peer_confirmed_; }
    /// Highest revision that any member has in force, and who has it.
    [[nodiscard]] member_info newest() const;
    /// Self, members and candidates in order.
    [[nodiscard]] std::vector<member_info> members() const;

private:
    struct peer {
        member_info info;
        std::uint32_t refutation = 0;
        /// The VM list shows the VM as leaving.
        bool listed_leaving = false;
        /// Heard of from itself or a member; before that it is only a candidate.
        bool met = false;
        /// Listed entries are forgotten only after this time, dead ones counted from their death.
        base::time_point changed;
    };
    struct probe {
        std::uint64_t nonce = 0;
        base::vm_id target;
        base::time_point sent;
        bool indirect = false;
    };
    /// A probe made for another member.
    struct relay {
        std::uint64_t nonce = 0;
        base::vm_id origin;
        std::uint64_t origin_nonce = 0;
        base::time_point expires;
    };
    /// An update that is still being spread.
    struct rumour {
        std::size_t sent = 0;
        /// Only the revision changed; the address is left out.
        bool revision_only = false;
    };

    void on_ping(const base::vm_id& from, const ping& what, base::time_point now);
    void on_ack(const message_header& header, const ack& what, base::time_point now);
    void on_ping_request(const base::vm_id& from, const ping_request& what, base::time_point now);
    base::result<void> check_sender(const envelope& what, base::time_point now);
    void learn_from_header(const message_header& header, base::time_point now);
    void merge(const member_update& update, base::time_point now);
    void merge_self(const member_update& update, base::time_point now);
    void replace(peer& known, const member_update& update, base::time_point now);
    void refute(base::time_point now);
    void meet(peer& known, const message_header& header, base::time_point now);
    void compare_digest(const base::vm_id& from, std::uint64_t digest, base::time_point now);

    void start_period(base::time_point now);
    void probe_member(const base::vm_id& target, base::time_point now);
    void probe_candidate(base::time_point now);
    void check_probes(base::time_point now);
    void check_suspects(base::time_point now);
    void forget_dead(base::time_point now);
    void excuse_pause(base::duration pause, base::time_point now);
    std::vector<base::vm_id> next_targets();

    void send_ping(const base::vm_id& to, std::uint64_t nonce, bool want_table, base::time_point now);
    void send_table(const base::vm_id& to);
    void spread_now();
    std::vector<member_update> updates_for(const base::vm_id& to);
    [[nodiscard]] member_update update_on(const peer& known) const;
    [[nodiscard]] member_update update_on_self() const;
    void spread(const base::vm_id& vm, bool revision_only);
    [[nodiscard]] std::size_t spread_limit() const;
    [[nodiscard]] std::uint64_t digest() const;
    void report_change(member_change_kind kind, const peer& known);
    void refresh_views();

    member_settings settings_;
    std::uint32_t refutation_ = 0;
    bool leaving_ = false;
    bool departed_ = false;
    base::revision in_force_;
    std::mt19937_64 random_;
    std::map<base::vm_id, peer> peers_;
    std::map<base::vm_id, rumour> rumours_;
    std::vector<base::vm_id> order_;
    std::vector<probe> probes_;
    std::vector<relay> relays_;
    base::time_point period_end_;
    base::time_point next_due_;
    base::time_point last_tick_;
    base::time_point table_asked_;
    std::optional<base::time_point> peer_heard_;
    std::optional<base::time_point> peer_confirmed_;
    std::vector<base::vm_id> live_;
    std::vector<base::vm_id> owners_;
    std::vector<outgoing> outgoing_;
    std::vector<member_change> changes_;
};

} // namespace bluebell::decision
