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
    /// Incarnation of this process; each start has a higher one than the starts before it.
    base::incarnation incarnation;
    endpoint address;
    base::duration probe_period = std::chrono::milliseconds(500);
    /// A probe that is not acknowledged within this time is repeated through other members. It leaves room
    /// for a round trip between regions and for the indirect probe within the period.
    base::duration ack_timeout = std::chrono::milliseconds(250);
    /// A suspect that does not refute the suspicion within this time is declared dead.
    base::duration suspicion_time = std::chrono::seconds(2);
    /// A dead member that the VM list no longer shows is forgotten after this time.
    base::duration dead_retention = std::chrono::minutes(1);
    /// Up to this number of members, this router included, every member is probed in each period.
    std::size_t probe_all_limit = 16;
    /// Members that are asked to probe a target that did not acknowledge in time.
    std::size_t indirect_probes = 3;
    /// Peers that a new revision or a refutation is sent to at once.
    std::size_t gossip_fanout = 4;
    /// Largest number of member updates in one message; 24 of them take about 700 bytes.
    std::size_t updates_per_message = 24;
    /// An update is sent this factor times the decimal logarithm of the member count.
    std::size_t retransmit_factor = 4;
    std::uint64_t seed = 1;
};

enum class member_change_kind { joined, left, restarted };
std::string_view to_string(member_change_kind kind);

/// A change of the live membership as this router sees it.
struct member_change {
    member_change_kind kind = member_change_kind::joined;
    base::vm_id vm;
    base::incarnation incarnation;
};

/// State of one member or candidate as this router knows it, for status and dump.
struct member_info {
    base::vm_id vm;
    base::data_centre_id data_centre;
    base::incarnation incarnation;
    liveness state = liveness::alive;
    bool leaving = false;
    /// True if the VM list contains the VM.
    bool listed = false;
    endpoint control;
    endpoint admin;
    /// CPU cores of the VM; zero if unknown.
    double cpu_cores = 0;
    /// Highest revision that the member is known to have in force.
    base::revision in_force;
    /// Latest time at which the member is proven to have been running: the send time of the last probe that
    /// was answered.
    std::optional<base::time_point> last_heard;
    /// Latest time at which the member's view of the release head is proven to have been confirmed.
    std::optional<base::time_point> head_confirmed_at;
};

/// Member table of one router: implements SWIM probing, suspicion, refutation and gossip of member updates.
///
/// `last_heard` and `head_confirmed_at` count from the time at which this router sent its probe, not from the
/// time at which it read the answer: a router that was paused reads datagrams of unknown age from its socket,
/// and these must not look fresh.
///
/// Thread safety: used by one thread. Errors: none are thrown.
class member {
public:
    /// Pre-condition: `self` and `address` of the settings are not empty.
    member(member_settings settings, base::time_point now);

    /// Takes a new VM list: adds candidates, marks leaving VMs and allows dead members to be removed. A
    /// member that is missing from the list stays a member for as long as it answers probes.
    void update_vm_list(const std::vector<vm_entry>& vms, base::time_point now);

    /// Processes a message of any kind; called before other modules see it. Errors: `message_unknown_sender`
    /// (not a live member), `message_stale_incarnation` (an earlier incarnation of the sender), `draining`
    /// (this router has departed). The caller passes the message on to other modules only on success.
    base::result<void> receive(const envelope& received, base::time_point now);

    /// Runs the timers that are due. Pre-condition: called at least as often as `next_due` says; a late call
    /// is treated as a pause of this process and suspects no peer.
    void tick(base::time_point now);
    /// Time at which `tick` has to be called next.
    [[nodiscard]] base::time_point next_due() const { return next_due_; }

    /// Records that this router has a higher revision in force and sends it to a few random peers at once. A
    /// revision that is not higher has no effect.
    void put_in_force(base::revision revision, base::time_point now);
    /// Announces that this router is draining and takes no new ownership. Cannot be revoked.
    void announce_leaving(base::time_point now);
    /// Announces to peers that this router stops now, so that they need not wait for the suspicion time.
    void depart(base::time_point now);

    /// Returns and clears the messages that were queued since the last call.
    [[nodiscard]] std::vector<outgoing> take_outgoing();
    /// Returns and clears the membership changes since the last call.
    [[nodiscard]] std::vector<member_change> take_changes();

    [[nodiscard]] const base::vm_id& self() const { return settings_.self; }
    /// Incarnation for the header of outgoing messages. It rises if peers remember a higher one, which
    /// happens when the wall clock that numbered this start was set back.
    [[nodiscard]] base::incarnation incarnation() const { return settings_.incarnation; }
    /// Revision that this router has in force.
    [[nodiscard]] base::revision in_force() const { return in_force_; }
    /// Live members in order of their ids; includes suspects and this router.
    [[nodiscard]] const std::vector<base::vm_id>& live() const { return live_; }
    /// Live members that may own upstreams, accounts (as usage owner) and partitions: the live members that
    /// are not leaving, or all live members if every one is leaving.
    [[nodiscard]] const std::vector<base::vm_id>& owners() const { return owners_; }
    /// True for this router and for each member that is not declared dead.
    [[nodiscard]] bool is_live(const base::vm_id& vm) const;
    /// Address for control messages to `vm`; also available for candidates that are not members. Empty if
    /// unknown.
    [[nodiscard]] std::optional<endpoint> control_address(const base::vm_id& vm) const;
    /// Address for admin requests to `vm`. Empty if unknown.
    [[nodiscard]] std::optional<endpoint> admin_address(const base::vm_id& vm) const;
    /// Returns up to `count` distinct live peers, chosen at random.
    [[nodiscard]] std::vector<base::vm_id> random_peers(std::size_t count);
    /// Number of VMs that are live or that the VM list shows as not leaving, this router included; the `n` of
    /// the partition rule.
    [[nodiscard]] std::size_t known_count() const;
    /// True if any other member or candidate is known, live or not. A router without any is alone, not
    /// isolated.
    [[nodiscard]] bool knows_peers() const;
    /// Latest time at which any peer is proven to have been running and reachable. Empty before the first
    /// answer.
    [[nodiscard]] std::optional<base::time_point> last_peer_contact() const { return peer_heard_; }
    /// Latest time at which the release head is proven to have been read by a peer or by a router from which
    /// the peer received messages. Empty before the first answer.
    [[nodiscard]] std::optional<base::time_point> last_peer_confirmation() const { return peer_confirmed_; }
    /// Returns the member with the highest revision in force; this router if none has a higher one.
    [[nodiscard]] member_info newest_revision_holder() const;
    /// This router, members and candidates in order of their ids.
    [[nodiscard]] std::vector<member_info> members() const;

private:
    struct peer {
        member_info info;
        std::uint32_t refutation = 0;
        bool listed_leaving = false;
        bool announced_leaving = false;
        /// False while the VM is only a candidate from the VM list; true once it or a member has sent an
        /// update on it.
        bool is_member = false;
        /// Time of the last change of `info.state`.
        base::time_point state_changed_at;
    };
    struct probe {
        std::uint64_t nonce = 0;
        base::vm_id target;
        base::time_point sent_at;
        bool indirect_sent = false;
    };
    /// A probe that this router sends on behalf of another member.
    struct relayed_probe {
        std::uint64_t nonce = 0;
        base::vm_id origin;
        std::uint64_t origin_nonce = 0;
        base::time_point expires_at;
    };
    base::result<void> admit(const envelope& received, base::time_point now);
    base::result<void> admit_unknown_sender(const envelope& received, base::time_point now);
    void admit_new_incarnation(peer& sender, const message_header& header, base::time_point now);
    void on_ping(const message_header& header, const ping& received, base::time_point now);
    void update_address(const message_header& header, const std::vector<member_update>& updates);
    void on_ack(const message_header& header, const ack& received, base::time_point now);
    void on_ping_request(const base::vm_id& from, const ping_request& received, base::time_point now);
    void forward_ack(std::uint64_t nonce);
    void record_ack(peer& sender, const message_header& header, base::time_point sent);
    void compare_tables(const message_header& header, std::uint64_t peer_digest,
                        const revision_acknowledgements& peer_acknowledgements, base::time_point now);
    void count_pending_as_sent();
    void merge_acknowledgements(base::revision revision,
                                const revision_acknowledgements& peer_acknowledgements);
    void raise_in_force(peer& entry, base::revision revision);
    [[nodiscard]] const revision_acknowledgements& current_acknowledgements();
    [[nodiscard]] base::revision in_force_of(const base::vm_id& vm) const;

    void merge(const std::vector<member_update>& updates, base::time_point now);
    void merge_self(const member_update& update);
    void merge_peer(const member_update& update, base::time_point now);
    void apply_update(peer& entry, const member_update& update, base::time_point now);
    void change_state(peer& entry, liveness state, base::time_point now);

    void start_period(base::time_point now);
    [[nodiscard]] std::vector<base::vm_id> next_probe_targets();
    [[nodiscard]] std::optional<base::vm_id> next_live_peer();
    [[nodiscard]] std::vector<base::vm_id> pick_candidates(std::size_t count);
    void send_indirect_probes(base::time_point now);
    void fail_probes(base::time_point now);
    void expire_suspects(base::time_point now);
    void remove_dead(base::time_point now);
    void reset_timers_after_pause(base::time_point now);
    [[nodiscard]] base::time_point earliest_due() const;

    void send_ping(const base::vm_id& to, std::uint64_t nonce, bool want_table);
    void send_table(const base::vm_id& to);
    void gossip_now(std::size_t fanout);
    void forward_changes();
    [[nodiscard]] std::vector<member_update> select_updates(const base::vm_id& to);
    [[nodiscard]] member_update update_about(const base::vm_id& vm) const;
    [[nodiscard]] std::size_t spread_limit() const;
    [[nodiscard]] ping make_ping(std::uint64_t nonce, std::vector<member_update> updates);
    [[nodiscard]] ack make_ack(std::uint64_t nonce, std::vector<member_update> updates);
    [[nodiscard]] std::uint64_t compute_digest() const;
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
    /// Updates that are still being gossiped, with the number of times that each was sent.
    std::map<base::vm_id, std::size_t> pending_updates_;
    std::vector<base::vm_id> probe_order_;
    std::vector<probe> probes_;
    std::vector<relayed_probe> relayed_probes_;
    /// True once the digest of any peer has equalled that of this router.
    bool synchronised_ = false;
    std::size_t digest_mismatches_ = 0;
    base::time_point table_requested_at_;
    base::time_point period_end_;
    base::time_point next_due_;
    std::optional<base::time_point> peer_heard_;
    std::optional<base::time_point> peer_confirmed_;
    bool views_stale_ = false;
    bool state_changed_ = false;
    std::size_t forwards_left_ = 0;
    std::uint64_t digest_ = 0;
    bool acknowledgements_stale_ = true;
    revision_acknowledgements acknowledgements_;
    std::vector<base::vm_id> live_;
    std::vector<base::vm_id> owners_;
    std::vector<outgoing> outgoing_;
    std::vector<member_change> changes_;
};

} // namespace bluebell::decision
