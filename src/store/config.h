#pragma once

#include "decision/release.h"
#include "store/store.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bluebell::store {

/// Client accounts are spread over this many chunks by hash, so that a release rewrites little.
constexpr std::size_t account_chunks = 64;
/// Accepted changes that the head lists.
constexpr std::size_t listed_changes = 32;
/// Chunks that the head does not name are kept for this many revisions. A publisher that is further behind
/// cannot replace the head any more, so nobody can come to need them.
constexpr std::uint64_t chunk_retention = 64;

/// Names an immutable part of the configuration by its content and the revision that it was written for.
struct chunk_ref {
    base::revision written;
    base::uint128 digest;

    friend bool operator==(const chunk_ref& a, const chunk_ref& b) {
        return a.written == b.written && a.digest == b.digest;
    }
};
std::string to_string(const chunk_ref& ref);

/// The object that a release replaces; it names everything else. Empty chunks are not stored.
struct release_head {
    base::revision revision;
    /// Pools and upstreams.
    std::optional<chunk_ref> fleet;
    std::array<std::optional<chunk_ref>, account_chunks> accounts;
    /// Newest first, at most `listed_changes`.
    std::vector<decision::release_change> changes;
};

std::string encode_head(const release_head& head);
/// Error: `store_malformed`.
base::result<release_head> decode_head(const std::string& text);

base::object_name head_name();
base::object_name chunk_name(const chunk_ref& ref);

/// A release as it was read: texts for peers, and their meaning. Does not change after it is made.
struct config_image {
    release_head head;
    std::string head_text;
    /// Texts of the chunks by `to_string(chunk_ref)`.
    std::map<std::string, std::shared_ptr<const std::string>> chunks;
    std::shared_ptr<const decision::fleet_config> config;
};

/// Where chunks come from.
class chunk_source {
public:
    chunk_source() = default;
    chunk_source(const chunk_source&) = delete;
    chunk_source& operator=(const chunk_source&) = delete;
    chunk_source(chunk_source&&) = delete;
    chunk_source& operator=(chunk_source&&) = delete;
    virtual ~chunk_source() = default;

    virtual base::result<std::string> read(const chunk_ref& ref) = 0;
};

class store_chunks final : public chunk_source {
public:
    explicit store_chunks(object_store& store) : store_(store) {}
    base::result<std::string> read(const chunk_ref& ref) override;

private:
    object_store& store_;
};

/// Reads the chunks that the head names; those that `former` has are not read again.
/// Errors: `store_malformed`, `release_digest_mismatch`, and those of the source.
base::result<std::shared_ptr<const config_image>>
load_image(const std::string& head_text, const config_image* former, chunk_source& source);

/// The answer to `GET /config` on the admin port: head and chunks.
std::string render_config(const config_image& image);
/// Reads what `render_config` writes. Errors: `store_malformed`, `release_digest_mismatch`.
base::result<std::shared_ptr<const config_image>> parse_config(const std::string& text,
                                                               const config_image* former);

/// The parts of `next` that differ from `former`, and the head that names them.
struct encoded_release {
    release_head head;
    std::map<std::string, std::string> new_chunks; ///< by `to_string(chunk_ref)`
};
encoded_release encode_release(const decision::fleet_config& next, const release_head& former,
                               const decision::release_change& change);

/// Tells which routers do not have a revision in force yet.
class acknowledgements {
public:
    acknowledgements() = default;
    acknowledgements(const acknowledgements&) = delete;
    acknowledgements& operator=(const acknowledgements&) = delete;
    acknowledgements(acknowledgements&&) = delete;
    acknowledgements& operator=(acknowledgements&&) = delete;
    virtual ~acknowledgements() = default;

    /// The routers of the VM list that are behind `rev` or cannot be asked.
    virtual base::result<std::vector<base::vm_id>> behind(base::revision rev) = 0;
};

struct publish_limits {
    /// Calls on the head before the outcome is given up as unknown.
    int attempts = 8;
    base::duration pause = std::chrono::milliseconds(250);
};

struct published_release {
    decision::release_change change;
    std::shared_ptr<const decision::fleet_config> config;
};

/// Puts release notes in force by conditional updates of the head.
/// Thread safety: used by one thread, which sleeps between attempts.
class publisher {
public:
    publisher(object_store& store, acknowledgements& routers, publish_limits limits)
        : store_(store), routers_(routers), limits_(limits) {}

    /// The release in force; revision zero with an empty configuration if there is none yet.
    base::result<std::shared_ptr<const config_image>> read();

    /// Applies the note to the release in force. `id` is new for each call; a lost answer is resolved by
    /// looking for it in the head. Nothing changes unless the result is a value or `store_answer_lost`.
    /// Errors: the faults of `decision::validate`; `note_conflict` that names the winner of a race;
    /// `release_not_in_force` with the routers that have not acknowledged a departing upstream;
    /// `store_answer_lost` if the outcome cannot be determined; the others of the store.
    tl::expected<published_release, std::vector<base::error>> publish(const decision::release_note& note,
                                                                      const base::change_id& id);

    /// Removes up to `limit` chunks that no router or publisher can need any more; returns how many.
    base::result<std::size_t> remove_unused_chunks(std::size_t limit);

private:
    struct base_release {
        std::shared_ptr<const config_image> image;
        base::object_version version;
    };
    /// What the head says about an update whose answer was lost or that met a conflict.
    struct outcome {
        enum class kind { accepted, lost_race, not_applied, unclear } what = kind::unclear;
        std::optional<decision::release_change> winner;
    };

    base::result<base_release> read_base();
    base::result<void> check_acknowledged(const decision::release_note& note,
                                          const decision::fleet_config& current);
    base::result<void> write_chunk(const std::string& name, const std::string& text);
    base::result<void> replace_head(const base_release& before, const encoded_release& next);
    outcome look_up(const base_release& before, const decision::release_change& own);

    object_store& store_;
    acknowledgements& routers_;
    publish_limits limits_;
};

} // namespace bluebell::store
