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

/// Number of chunks over which the client accounts are distributed by hash, so that a release rewrites only a
/// small part of them.
constexpr std::size_t account_chunks = 64;
/// Number of most recent accepted changes that the head lists.
constexpr std::size_t listed_changes = 32;
/// Number of revisions for which a chunk that the head does not reference is kept. A publisher that is
/// further behind can no longer replace the head, so no head will reference an older chunk again.
constexpr std::uint64_t chunk_retention = 64;

/// Reference to an immutable part of the configuration.
struct chunk_ref {
    base::revision revision; ///< that the chunk was written for
    base::uint128 digest;

    friend bool operator==(const chunk_ref& a, const chunk_ref& b) {
        return a.revision == b.revision && a.digest == b.digest;
    }
};
/// Formats the reference as in the head and in object names.
std::string to_string(const chunk_ref& ref);

/// The object that each release replaces; it references all chunks. Empty chunks are not stored.
struct release_head {
    base::revision revision;
    /// Pools and upstreams.
    std::optional<chunk_ref> fleet;
    std::array<std::optional<chunk_ref>, account_chunks> accounts;
    /// Newest first, at most `listed_changes`.
    std::vector<decision::release_change> changes;
};

std::string encode_head(const release_head& head);
/// Parses the text of `encode_head`. Error: `store_malformed`.
base::result<release_head> decode_head(const std::string& text);

/// Names of the stored objects.
base::object_name head_name();
base::object_name chunk_name(const chunk_ref& ref);

/// An immutable release: its encoded texts, which peers can fetch, and the decoded configuration.
struct config_image {
    release_head head;
    std::string head_text;
    /// Texts of the chunks by `to_string(chunk_ref)`.
    std::map<std::string, std::shared_ptr<const std::string>> chunks;
    std::shared_ptr<const decision::fleet_config> config;
};

/// Source from which chunks are read.
class chunk_source {
public:
    chunk_source() = default;
    chunk_source(const chunk_source&) = delete;
    chunk_source& operator=(const chunk_source&) = delete;
    chunk_source(chunk_source&&) = delete;
    chunk_source& operator=(chunk_source&&) = delete;
    virtual ~chunk_source() = default;

    /// Returns the text of a chunk; the caller checks its digest.
    virtual base::result<std::string> read(const chunk_ref& ref) = 0;
};

/// Reads chunks from the object store. Errors: those of `object_store::read`.
class store_chunks final : public chunk_source {
public:
    explicit store_chunks(object_store& store) : store_(store) {}
    base::result<std::string> read(const chunk_ref& ref) override;

private:
    object_store& store_;
};

/// Decodes the head and the chunks that it references. Chunks that are part of `previous`, which may be null,
/// are not read again. Errors: `store_malformed`, `release_digest_mismatch`, and those of the source.
base::result<std::shared_ptr<const config_image>>
load_image(const std::string& head_text, const config_image* previous, chunk_source& source);

/// Encodes head and chunks as the answer to `GET /config` on the admin port.
std::string render_config(const config_image& image);
/// Parses the text of `render_config`; `previous`, which may be null, is used as in `load_image`.
/// Errors: `store_malformed`, `release_digest_mismatch`.
base::result<std::shared_ptr<const config_image>> parse_config(const std::string& text,
                                                               const config_image* previous);

/// A new head and the chunks that have to be written before it.
struct encoded_release {
    release_head head;
    std::map<std::string, std::string> new_chunks; ///< by `to_string(chunk_ref)`
};
/// Encodes `next` with the chunks that differ from those of `previous`, and lists `change` in the head.
encoded_release encode_release(const decision::fleet_config& next, const release_head& previous,
                               const decision::release_change& change);

/// Source of the revisions that the routers have in force.
class acknowledgements {
public:
    acknowledgements() = default;
    acknowledgements(const acknowledgements&) = delete;
    acknowledgements& operator=(const acknowledgements&) = delete;
    acknowledgements(acknowledgements&&) = delete;
    acknowledgements& operator=(acknowledgements&&) = delete;
    virtual ~acknowledgements() = default;

    /// Returns the routers of the VM list that do not have `revision` in force yet or do not answer.
    virtual base::result<std::vector<base::vm_id>> behind(base::revision revision) = 0;
};

/// Retries of `publisher`.
struct publish_limits {
    /// Attempts to write an object. If the head's outcome is then still open, it is reported as unknown.
    int attempts = 8;
    /// Pause between attempts.
    base::duration pause = std::chrono::milliseconds(250);
};

/// Accepted change and the configuration that it results in.
struct published_release {
    decision::release_change change;
    std::shared_ptr<const decision::fleet_config> config;
};

/// Publishes release notes by conditional updates of the head.
/// Thread safety: one instance is used by one thread, which sleeps between attempts.
class publisher {
public:
    /// Pre-condition: `store` and `routers` outlive the publisher.
    publisher(object_store& store, acknowledgements& routers, publish_limits limits)
        : store_(store), routers_(routers), limits_(limits) {}

    /// Reads the release in force; revision zero with an empty configuration if there is none yet. Errors:
    /// those of `load_image` and `object_store::read`.
    base::result<std::shared_ptr<const config_image>> read();

    /// Applies the note to the release in force. `id` must be unique for each call; after a lost answer, the
    /// head is searched for it. Nothing changes unless the result is a value or `store_answer_lost`. Errors:
    /// those of `decision::validate`; `note_conflict` with the change that won a race; `release_not_in_force`
    /// with the routers that have not acknowledged a departing upstream; `store_answer_lost` if the outcome
    /// cannot be determined; other errors of the store.
    tl::expected<published_release, std::vector<base::error>> publish(const decision::release_note& note,
                                                                      const base::change_id& id);

    /// Removes up to `limit` chunks that no router or publisher can need any more; returns the number
    /// removed. Errors: those of `decode_head` and the store.
    base::result<std::size_t> remove_unused_chunks(std::size_t limit);

private:
    struct base_release {
        std::shared_ptr<const config_image> image;
        base::object_version version;
    };
    /// Outcome of an update whose answer was lost or that conflicted, according to the head.
    struct outcome {
        /// The change was accepted, another change got its revision, the head is unchanged, or none is
        /// certain.
        enum class kind { accepted, lost_race, not_applied, unclear } status = kind::unclear;
        /// The change that has the revision in question; empty if it is not known.
        std::optional<decision::release_change> winner;
    };

    base::result<base_release> read_base();
    /// Checks that all routers have the revision in force that `note` requires, if it requires one.
    base::result<void> check_acknowledged(const decision::release_note& note,
                                          const decision::fleet_config& current);
    /// Writes a chunk unless it exists.
    base::result<void> write_chunk(const std::string& name, const std::string& text);
    /// Replaces the head of `predecessor` by that of `next`.
    base::result<void> replace_head(const base_release& predecessor, const encoded_release& next);
    /// Reads the head and determines whether the change `own` was accepted.
    outcome find_outcome(const base_release& predecessor, const decision::release_change& own);

    object_store& store_;
    acknowledgements& routers_;
    publish_limits limits_;
};

} // namespace bluebell::store
