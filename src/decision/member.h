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
    base::incarnation incarnation;
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
    base::incarnation incarnation;
};

/// What is known of one member, for status and dump.
struct member_info {
    base::vm_id vm;
    base::data_centre_id data_centre;
    base::incarnation incarnation;
    liveness state = liveness::alive;
    bool leaving = false;
    /// The VM list shows the VM.
    bool listed = false;
    endpoint control;
    endpoint admin;
    /// Processor time that the VM has, in cores; zero if unknown.
    double cpu_cores = 0;
    base::revision in_force;
    /// A time at which the member was certainly running, from the last answered probe.
    std::optional<base::time_point> last_heard;
    /// A time at which the member's view of the release head was certainly confirmed.
    std::optional<base::time_point> head_confirmed_at;
};

/// Member table of one router: SWIM probing, suspicion, refutation and spreading of updates.
///
/// `last_heard` and `head_confirmed_at` count from the time our probe was sent, not from the time the answer
/// was read: a router that was paused reads datagrams of unknown age from its socket, and these must not look
/// fresh.
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
    /// a pause of this process and suspects no peer.
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
    [[nodiscard]] base::incarnation incarnation() const { return settings_.incarnation; }
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
        bool listed_leaving = false;
        bool announced_leaving = false;
        /// Heard of from itself or from a member; until then it is only a candidate from the VM list.
        bool known = false;
        /// Time of the last change of `info.state`.
        base::time_point changed;
    };
    struct probe {
        std::uint64_t nonce = 0;
        base::vm_id target;
        base::time_point sent;
        bool indirect = false;
    };
    /// A probe made on behalf of another member.
    struct relay {
        std::uint64_t nonce = 0;
        base::vm_id origin;
        std::uint64_t origin_nonce = 0;
        base::time_point expires;
    };
    base::result<void> admit(const envelope& what, base::time_point now);
    base::result<void> admit_stranger(const envelope& what, base::time_point now);
    void admit_new_life(peer& sender, const message_header& header, base::time_point now);
    void on_ping(const message_header& header, const ping& what, base::time_point now);
    void learn_address(const message_header& header, const std::vector<member_update>& updates);
    void on_ack(const message_header& header, const ack& what, base::time_point now);
    void on_ping_request(const base::vm_id& from, const ping_request& what, base::time_point now);
    void pass_on_ack(std::uint64_t nonce);
    void note_answer(peer& who, const message_header& header, base::time_point sent);
    void compare_tables(const message_header& header, std::uint64_t digest_there,
                        const revision_acknowledgements& acknowledged_there, base::time_point now);
    void count_as_spread();
    void merge_acknowledged(base::revision rev, const revision_acknowledgements& there);
    void note_in_force(peer& known, base::revision rev);
    [[nodiscard]] const revision_acknowledgements& acknowledged();
    [[nodiscard]] base::revision in_force_at(const base::vm_id& vm) const;

    void merge(const std::vector<member_update>& updates, base::time_point now);
    void merge_self(const member_update& update);
    void merge_peer(const member_update& update, base::time_point now);
    void replace(peer& known, const member_update& update, base::time_point now);
    void change_state(peer& known, liveness state, base::time_point now);

    void start_period(base::time_point now);
    [[nodiscard]] std::vector<base::vm_id> next_targets();
    [[nodiscard]] std::optional<base::vm_id> next_live();
    [[nodiscard]] std::vector<base::vm_id> pick_candidates(std::size_t count);
    void send_indirect_probes(base::time_point now);
    void fail_probes(base::time_point now);
    void bury_suspects(base::time_point now);
    void forget_dead(base::time_point now);
    void discount_pause(base::time_point now);
    [[nodiscard]] base::time_point earliest_due() const;

    void send_ping(const base::vm_id& to, std::uint64_t nonce, bool want_table);
    void send_table(const base::vm_id& to);
    void spread_at_once(std::size_t fanout);
    void forward_changes();
    [[nodiscard]] std::vector<member_update> updates_for(const base::vm_id& to);
    [[nodiscard]] member_update update_on(const base::vm_id& vm) const;
    [[nodiscard]] std::size_t spread_limit() const;
    [[nodiscard]] ping make_ping(std::uint64_t nonce, std::vector<member_update> updates);
    [[nodiscard]] ack make_ack(std::uint64_t nonce, std::vector<member_update> updates);
    [[nodiscard]] std::uint64_t make_digest() const;
    [[nodiscard]] member_info self_info() const;
    void refresh_views();

    member_settings settings_;
    std::uint32_t refutation_ = 0;
    bool leaving_ = false;
    bool departed_ = false;
    base::revision in_force_;
    std::mt19937_64 random_;
    std::uint64_t last_nonce_ = 0;
    std::map<base::vm_id, peer> peers_;
    /// Updates that are still being spread, and how often each was sent.
    std::map<base::vm_id, std::size_t> pending_;
    std::vector<base::vm_id> order_;
    std::vector<probe> probes_;
    std::vector<relay> relays_;
    /// True once some peer had the same table as this router.
    bool synchronised_ = false;
    std::size_t mismatches_ = 0;
    base::time_point table_asked_;
    base::time_point period_end_;
    base::time_point next_due_;
    std::optional<base::time_point> peer_heard_;
    std::optional<base::time_point> peer_confirmed_;
    bool views_stale_ = false;
    bool state_changed_ = false;
    std::size_t forwards_left_ = 0;
    std::uint64_t digest_ = 0;
    bool acknowledged_stale_ = true;
    revision_acknowledgements acknowledged_;
    std::vector<base::vm_id> live_;
    std::vector<base::vm_id> owners_;
    std::vector<outgoing> outgoing_;
    std::vector<member_change> changes_;
};

} // namespace bluebell::decision
