#include "store/config.h"

#include "base/hash.h"
#include "base/json.h"

#include <algorithm>
#include <charconv>
#include <cxxtools/json.h>
#include <cxxtools/serializationinfo.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace bluebell::store {
namespace {

using base::error;
using base::error_code;
using cxxtools::SerializationInfo;
using decision::fleet_config;

constexpr int encoding_format = 1;
constexpr const char* chunk_prefix = "release/chunk/";

/// Thrown for a text of invalid format; the public functions return it as `store_malformed`.
class malformed : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

std::string to_json(const SerializationInfo& si) {
    std::ostringstream out;
    out << cxxtools::Json(si);
    return out.str();
}

SerializationInfo from_json(const std::string& text) {
    base::result<SerializationInfo> si = base::parse_json(text, error_code::store_malformed, "");
    if (!si) {
        throw malformed(si.error().text);
    }
    int format = 0;
    si->getMember("format") >>= format;
    if (format != encoding_format) {
        throw malformed("format " + std::to_string(format) + " is not supported");
    }
    return std::move(*si);
}

/// Formats a number as the shortest decimal text that reads back exactly. The JSON formatter of cxxtools
/// truncates numbers after 14 digits, so they are stored as text.
std::string format_number(double value) {
    std::array<char, 32> text{};
    const std::to_chars_result written = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), written.ptr};
}

template <typename Number>
Number parse_number(const std::string& text) {
    Number value{};
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        throw malformed("\"" + text + "\" is not a number");
    }
    return value;
}

template <typename T>
T member(const SerializationInfo& si, const char* name) {
    T value{};
    si.getMember(name) >>= value;
    return value;
}

base::uint128 compute_digest(const std::string& text) {
    return base::stable_hash_128({text});
}

std::string format_ref(const std::optional<chunk_ref>& ref) {
    return ref ? to_string(*ref) : std::string();
}

std::optional<chunk_ref> parse_ref(const std::string& text) {
    if (text.empty()) {
        return std::nullopt;
    }
    const std::size_t dash = text.find('-');
    chunk_ref ref;
    if (dash == std::string::npos || !base::from_hex(text.substr(dash + 1), ref.digest)) {
        throw malformed("\"" + text + "\" is not a chunk name");
    }
    ref.revision = base::revision(parse_number<std::uint64_t>(text.substr(0, dash)));
    return ref;
}

std::size_t chunk_index(const base::client_account_id& id) {
    return base::stable_hash(id.value()) % account_chunks;
}

/// Returns the texts of the account chunks; empty for chunks without accounts.
std::array<std::string, account_chunks> encode_accounts(const fleet_config& config) {
    std::array<SerializationInfo, account_chunks> chunks;
    std::array<std::string, account_chunks> texts;
    for (const auto& entry : config.accounts) {
        SerializationInfo& chunk = chunks.at(chunk_index(entry.first));
        if (chunk.memberCount() == 0) {
            chunk.addValue("format", encoding_format);
            chunk.addMember("accounts").setCategory(SerializationInfo::Object);
        }
        chunk.getMember("accounts").addValue(entry.first.value(), format_number(entry.second.share.value()));
    }
    for (std::size_t i = 0; i < account_chunks; ++i) {
        if (chunks.at(i).memberCount() != 0) {
            texts.at(i) = to_json(chunks.at(i));
        }
    }
    return texts;
}

void decode_accounts(const std::string& text, fleet_config& config) {
    const SerializationInfo si = from_json(text);
    for (const SerializationInfo& item : si.getMember("accounts")) {
        std::string share;
        item >>= share;
        const base::client_account_id id(item.name());
        config.accounts[id] = decision::client_account{id, base::weight(parse_number<double>(share))};
    }
}

void encode_upstream(const decision::upstream& upstream, SerializationInfo& item) {
    item.addValue("id", upstream.id.value());
    item.addValue("pool", upstream.pool.value());
    item.addValue("data_centre", upstream.data_centre.value());
    item.addValue("address", to_string(upstream.address));
    item.addValue("slots", upstream.slots.value());
    item.addValue("departing_since", upstream.departing_since.value());
    item.addValue("checks_fence", upstream.checks_fence);
    item.addValue("can_resume", upstream.can_resume);
}

decision::upstream decode_upstream(const SerializationInfo& item) {
    decision::upstream upstream;
    upstream.id = base::upstream_id(member<std::string>(item, "id"));
    upstream.pool = base::pool_id(member<std::string>(item, "pool"));
    upstream.data_centre = base::data_centre_id(member<std::string>(item, "data_centre"));
    const std::optional<decision::endpoint> address =
        decision::parse_endpoint(member<std::string>(item, "address"));
    if (!address) {
        throw malformed("upstream " + upstream.id.value() + " has a bad address");
    }
    upstream.address = *address;
    upstream.slots = base::slot_count(member<std::int32_t>(item, "slots"));
    upstream.departing_since = base::revision(member<std::uint64_t>(item, "departing_since"));
    upstream.state = upstream.departing_since == base::revision(0) ? decision::upstream_state::active
                                                                   : decision::upstream_state::departing;
    upstream.checks_fence = member<bool>(item, "checks_fence");
    upstream.can_resume = member<bool>(item, "can_resume");
    return upstream;
}

/// Returns the text of the fleet chunk; empty if there is neither a pool nor an upstream.
std::string encode_fleet(const fleet_config& config) {
    if (config.pools.empty() && config.upstreams.empty()) {
        return "";
    }
    SerializationInfo si;
    si.addValue("format", encoding_format);
    SerializationInfo& pools = si.addMember("pools");
    pools.setCategory(SerializationInfo::Array);
    for (const auto& entry : config.pools) {
        SerializationInfo& item = pools.addMember();
        item.addValue("id", entry.second.id.value());
        item.addValue("kind", entry.second.kind == decision::pool_kind::model ? "model" : "service");
        item.addValue("default_cost", format_number(entry.second.default_cost.value()));
    }
    SerializationInfo& upstreams = si.addMember("upstreams");
    upstreams.setCategory(SerializationInfo::Array);
    for (const auto& entry : config.upstreams) {
        encode_upstream(entry.second, upstreams.addMember());
    }
    return to_json(si);
}

void decode_fleet(const std::string& text, fleet_config& config) {
    const SerializationInfo si = from_json(text);
    for (const SerializationInfo& item : si.getMember("pools")) {
        decision::pool pool;
        pool.id = base::pool_id(member<std::string>(item, "id"));
        const std::string kind = member<std::string>(item, "kind");
        if (kind != "model" && kind != "service") {
            throw malformed("pool " + pool.id.value() + " has the unknown kind " + kind);
        }
        pool.kind = kind == "model" ? decision::pool_kind::model : decision::pool_kind::service;
        pool.default_cost = base::cost(parse_number<double>(member<std::string>(item, "default_cost")));
        config.pools[pool.id] = pool;
    }
    for (const SerializationInfo& item : si.getMember("upstreams")) {
        decision::upstream upstream = decode_upstream(item);
        config.upstreams[upstream.id] = std::move(upstream);
    }
}

/// Loads one image chunk by chunk and reuses unchanged chunks of the previous image.
class image_loader {
public:
    image_loader(release_head head, const config_image* previous, chunk_source& source)
        : previous_(previous), source_(source) {
        image_.head = std::move(head);
        if (previous_ != nullptr) {
            config_ = *previous_->config;
        }
        config_.revision = image_.head.revision;
    }

    /// Throws `malformed` or an exception of cxxtools if a chunk is malformed.
    base::result<std::shared_ptr<const config_image>> run(const std::string& head_text) {
        base::result<void> loaded = load_fleet();
        for (std::size_t i = 0; loaded && i < account_chunks; ++i) {
            loaded = load_accounts(i);
        }
        if (!loaded) {
            return tl::unexpected<error>(loaded.error());
        }
        image_.head_text = head_text;
        image_.config = std::make_shared<const fleet_config>(std::move(config_));
        return std::make_shared<const config_image>(std::move(image_));
    }

private:
    /// Returns the text of the chunk; empty if `ref` is.
    base::result<std::shared_ptr<const std::string>> fetch(const std::optional<chunk_ref>& ref) {
        if (!ref) {
            return std::make_shared<const std::string>();
        }
        const std::string name = to_string(*ref);
        if (previous_ != nullptr && previous_->chunks.count(name) != 0) {
            return image_.chunks[name] = previous_->chunks.at(name);
        }
        base::result<std::string> text = source_.read(*ref);
        if (!text) {
            return tl::unexpected<error>(text.error());
        }
        if (!(compute_digest(*text) == ref->digest)) {
            return base::failure(error_code::release_digest_mismatch, chunk_name(*ref).value(),
                                 "the content does not have the digest that the head names");
        }
        return image_.chunks[name] = std::make_shared<const std::string>(std::move(*text));
    }

    base::result<void> load_fleet() {
        const base::result<std::shared_ptr<const std::string>> text = fetch(image_.head.fleet);
        if (!text) {
            return tl::unexpected<error>(text.error());
        }
        if (previous_ != nullptr && previous_->head.fleet == image_.head.fleet) {
            return {};
        }
        config_.pools.clear();
        config_.upstreams.clear();
        if (!(*text)->empty()) {
            decode_fleet(**text, config_);
        }
        return {};
    }

    base::result<void> load_accounts(std::size_t index) {
        const std::optional<chunk_ref>& ref = image_.head.accounts.at(index);
        const base::result<std::shared_ptr<const std::string>> text = fetch(ref);
        if (!text) {
            return tl::unexpected<error>(text.error());
        }
        if (previous_ != nullptr) {
            const std::optional<chunk_ref>& before = previous_->head.accounts.at(index);
            if (before == ref) {
                return {};
            }
            remove_accounts(before);
        }
        if (!(*text)->empty()) {
            decode_accounts(**text, config_);
        }
        return {};
    }

    /// Removes the accounts of a chunk of the previous image from the configuration.
    void remove_accounts(const std::optional<chunk_ref>& ref) {
        if (!ref) {
            return;
        }
        fleet_config outdated;
        decode_accounts(*previous_->chunks.at(to_string(*ref)), outdated);
        for (const auto& entry : outdated.accounts) {
            config_.accounts.erase(entry.first);
        }
    }

    const config_image* previous_;
    chunk_source& source_;
    config_image image_;
    fleet_config config_;
};

/// Chunks that were received in one message with the head.
class bundled_chunks final : public chunk_source {
public:
    explicit bundled_chunks(const SerializationInfo& chunks) : chunks_(chunks) {}

    base::result<std::string> read(const chunk_ref& ref) override {
        const SerializationInfo* found = chunks_.findMember(to_string(ref));
        if (found == nullptr) {
            return base::failure(error_code::store_malformed, "/config",
                                 "chunk is missing: " + to_string(ref));
        }
        std::string text;
        *found >>= text;
        return text;
    }

private:
    const SerializationInfo& chunks_;
};

std::set<std::string> used_chunks(const release_head& head) {
    std::set<std::string> used{format_ref(head.fleet)};
    for (const std::optional<chunk_ref>& ref : head.accounts) {
        used.insert(format_ref(ref));
    }
    return used;
}

/// Returns true if the chunk was written more than `chunk_retention` revisions ago; false if `name` is not
/// the name of a chunk.
bool is_expired(const std::string& name, base::revision current) {
    try {
        const std::optional<chunk_ref> ref = parse_ref(name);
        return ref && ref->revision + base::revision(chunk_retention) < current;
    } catch (const malformed&) {
        return false;
    }
}

std::vector<error> error_list(error fault) {
    return {std::move(fault)};
}

} // namespace

std::string to_string(const chunk_ref& ref) {
    return std::to_string(ref.revision.value()) + '-' + base::to_hex(ref.digest);
}

base::object_name head_name() {
    return base::object_name("release/head");
}

base::object_name chunk_name(const chunk_ref& ref) {
    return base::object_name(chunk_prefix + to_string(ref));
}

std::string encode_head(const release_head& head) {
    SerializationInfo si;
    si.addValue("format", encoding_format);
    si.addValue("revision", head.revision.value());
    si.addValue("fleet", format_ref(head.fleet));
    SerializationInfo& accounts = si.addMember("accounts");
    accounts.setCategory(SerializationInfo::Array);
    for (const std::optional<chunk_ref>& ref : head.accounts) {
        accounts.addMember().setValue(format_ref(ref));
    }
    SerializationInfo& changes = si.addMember("changes");
    changes.setCategory(SerializationInfo::Array);
    for (const decision::release_change& change : head.changes) {
        SerializationInfo& item = changes.addMember();
        item.addValue("revision", change.revision.value());
        item.addValue("operator", change.author.value());
        item.addValue("change", change.change.value());
        item.addValue("title", change.title);
    }
    return to_json(si);
}

base::result<release_head> decode_head(const std::string& text) {
    try {
        const SerializationInfo si = from_json(text);
        release_head head;
        head.revision = base::revision(member<std::uint64_t>(si, "revision"));
        head.fleet = parse_ref(member<std::string>(si, "fleet"));
        const std::vector<std::string> accounts = member<std::vector<std::string>>(si, "accounts");
        if (accounts.size() != account_chunks) {
            throw malformed("wrong number of account chunks");
        }
        std::transform(accounts.begin(), accounts.end(), head.accounts.begin(), parse_ref);
        for (const SerializationInfo& item : si.getMember("changes")) {
            head.changes.push_back({base::revision(member<std::uint64_t>(item, "revision")),
                                    base::operator_id(member<std::string>(item, "operator")),
                                    base::change_id(member<std::string>(item, "change")),
                                    member<std::string>(item, "title")});
        }
        return head;
    } catch (const std::exception& exception) {
        return base::failure(error_code::store_malformed, head_name().value(), exception.what());
    }
}

base::result<std::string> store_chunks::read(const chunk_ref& ref) {
    return store_.read(chunk_name(ref)).map([](stored_object object) { return std::move(object.value); });
}

base::result<std::shared_ptr<const config_image>>
load_image(const std::string& head_text, const config_image* previous, chunk_source& source) {
    base::result<release_head> head = decode_head(head_text);
    if (!head) {
        return tl::unexpected<error>(head.error());
    }
    try {
        return image_loader(std::move(*head), previous, source).run(head_text);
    } catch (const std::exception& exception) {
        return base::failure(error_code::store_malformed, "chunk of " + head_name().value(),
                             exception.what());
    }
}

std::string render_config(const config_image& image) {
    SerializationInfo si;
    si.addValue("format", encoding_format);
    si.addValue("head", image.head_text);
    SerializationInfo& chunks = si.addMember("chunks");
    chunks.setCategory(SerializationInfo::Object);
    for (const auto& entry : image.chunks) {
        chunks.addValue(entry.first, *entry.second);
    }
    return to_json(si);
}

base::result<std::shared_ptr<const config_image>> parse_config(const std::string& text,
                                                               const config_image* previous) {
    try {
        const SerializationInfo si = from_json(text);
        bundled_chunks chunks(si.getMember("chunks"));
        return load_image(member<std::string>(si, "head"), previous, chunks);
    } catch (const std::exception& exception) {
        return base::failure(error_code::store_malformed, "/config", exception.what());
    }
}

encoded_release encode_release(const fleet_config& next, const release_head& previous,
                               const decision::release_change& change) {
    encoded_release encoded;
    encoded.head.revision = next.revision;
    const auto keep_or_add = [&](const std::string& text, const std::optional<chunk_ref>& predecessor) {
        std::optional<chunk_ref> ref;
        if (text.empty()) {
            return ref;
        }
        ref = chunk_ref{next.revision, compute_digest(text)};
        if (predecessor && predecessor->digest == ref->digest) {
            return predecessor;
        }
        encoded.new_chunks[to_string(*ref)] = text;
        return ref;
    };
    encoded.head.fleet = keep_or_add(encode_fleet(next), previous.fleet);
    const std::array<std::string, account_chunks> accounts = encode_accounts(next);
    for (std::size_t i = 0; i < account_chunks; ++i) {
        encoded.head.accounts.at(i) = keep_or_add(accounts.at(i), previous.accounts.at(i));
    }
    encoded.head.changes = previous.changes;
    encoded.head.changes.insert(encoded.head.changes.begin(), change);
    if (encoded.head.changes.size() > listed_changes) {
        encoded.head.changes.resize(listed_changes);
    }
    return encoded;
}

base::result<publisher::base_release> publisher::read_base() {
    const base::result<stored_object> head = store_.read(head_name());
    if (!head && head.error().code == error_code::store_not_found) {
        config_image empty;
        empty.config = std::make_shared<const fleet_config>();
        return base_release{std::make_shared<const config_image>(std::move(empty)), base::object_version(0)};
    }
    if (!head) {
        return tl::unexpected<error>(head.error());
    }
    store_chunks chunks(store_);
    const base::result<std::shared_ptr<const config_image>> image = load_image(head->value, nullptr, chunks);
    if (!image) {
        return tl::unexpected<error>(image.error());
    }
    return base_release{*image, head->version};
}

base::result<std::shared_ptr<const config_image>> publisher::read() {
    return read_base().map([](const base_release& release) { return release.image; });
}

base::result<void> publisher::check_acknowledged(const decision::release_note& note,
                                                 const fleet_config& current) {
    const std::optional<base::revision> needed = decision::revision_to_acknowledge(note, current);
    if (!needed) {
        return {};
    }
    const base::result<std::vector<base::vm_id>> behind = routers_.behind(*needed);
    if (!behind) {
        return tl::unexpected<error>(behind.error());
    }
    if (behind->empty()) {
        return {};
    }
    std::string names;
    for (const base::vm_id& vm : *behind) {
        names += (names.empty() ? "" : ", ") + vm.value();
    }
    return base::failure(error_code::release_not_in_force, note.location,
                         "revision " + std::to_string(needed->value()) + " is not acknowledged by " + names);
}

base::result<void> publisher::write_chunk(const std::string& name, const std::string& text) {
    base::result<base::object_version> written;
    for (int attempt = 0; attempt < limits_.attempts; ++attempt) {
        if (attempt > 0) {
            std::this_thread::sleep_for(limits_.pause);
        }
        written = store_.update(base::object_name(chunk_prefix + name), text, base::object_version(0));
        // A conflict means that the chunk exists; its name contains the digest of its content.
        if (written || written.error().code == error_code::store_conflict) {
            return {};
        }
        if (written.error().code != error_code::store_answer_lost) {
            break;
        }
    }
    return tl::unexpected<error>(written.error());
}

publisher::outcome publisher::find_outcome(const base_release& predecessor,
                                           const decision::release_change& own) {
    const base::result<stored_object> object = store_.read(head_name());
    if (!object) {
        const bool absent = object.error().code == error_code::store_not_found;
        const bool unchanged = absent && predecessor.version == base::object_version(0);
        return {unchanged ? outcome::kind::not_applied : outcome::kind::unclear, std::nullopt};
    }
    if (object->version == predecessor.version) {
        return {outcome::kind::not_applied, std::nullopt};
    }
    const base::result<release_head> head = decode_head(object->value);
    if (!head) {
        return {outcome::kind::unclear, std::nullopt};
    }
    std::optional<decision::release_change> winner;
    for (const decision::release_change& change : head->changes) {
        if (change.change == own.change) {
            return {outcome::kind::accepted, change};
        }
        if (change.revision == own.revision) {
            winner = change;
        }
    }
    // A stale head, or one whose list does not go back to the revision in question, leaves the outcome open.
    return {winner ? outcome::kind::lost_race : outcome::kind::unclear, winner};
}

base::result<void> publisher::replace_head(const base_release& predecessor, const encoded_release& next) {
    const decision::release_change& own = next.head.changes.front();
    const std::string text = encode_head(next.head);
    bool may_have_applied = false;
    for (int attempt = 0; attempt < limits_.attempts; ++attempt) {
        if (attempt > 0) {
            std::this_thread::sleep_for(limits_.pause);
        }
        const base::result<base::object_version> updated =
            store_.update(head_name(), text, predecessor.version);
        if (updated) {
            return {};
        }
        const error_code code = updated.error().code;
        may_have_applied = may_have_applied || code == error_code::store_answer_lost;
        if (code != error_code::store_conflict && !may_have_applied) {
            return tl::unexpected<error>(updated.error());
        }
        // As long as the old version is read, the update is sent again. It is conditional on that version, so
        // it cannot apply twice, whether the first one was lost or is delayed, or the read is stale.
        const outcome found = find_outcome(predecessor, own);
        if (found.status == outcome::kind::accepted) {
            return {};
        }
        if (found.status == outcome::kind::lost_race) {
            return tl::unexpected<error>(decision::describe_conflict(*found.winner));
        }
    }
    if (!may_have_applied) {
        return base::failure(error_code::note_conflict, head_name().value(),
                             "another release was first, but the store does not show it yet");
    }
    return base::failure(error_code::store_answer_lost, head_name().value(),
                         "the outcome of change " + own.change.value() +
                             " is unknown; look for it in the list "
                             "of releases");
}

tl::expected<published_release, std::vector<error>> publisher::publish(const decision::release_note& note,
                                                                       const base::change_id& id) {
    const base::result<base_release> predecessor = read_base();
    if (!predecessor) {
        return tl::unexpected<std::vector<error>>(error_list(predecessor.error()));
    }
    const fleet_config& current = *predecessor->image->config;
    std::vector<error> faults = decision::validate(note, current);
    if (note.base_revision) {
        for (const decision::release_change& change : predecessor->image->head.changes) {
            if (change.revision == *note.base_revision + base::revision(1)) {
                faults.push_back(decision::describe_conflict(change));
            }
        }
    }
    if (!faults.empty()) {
        return tl::unexpected<std::vector<error>>(std::move(faults));
    }
    const base::result<void> acknowledged = check_acknowledged(note, current);
    if (!acknowledged) {
        return tl::unexpected<std::vector<error>>(error_list(acknowledged.error()));
    }
    const fleet_config next = decision::apply(note, current);
    const decision::release_change change{next.revision, note.author, id, note.title};
    const encoded_release encoded = encode_release(next, predecessor->image->head, change);
    for (const auto& chunk : encoded.new_chunks) {
        const base::result<void> written = write_chunk(chunk.first, chunk.second);
        if (!written) {
            // Chunks that no head references have no effect, so the outcome is certain.
            error fault = written.error();
            if (fault.code == error_code::store_answer_lost) {
                fault.code = error_code::store_unavailable;
            }
            return tl::unexpected<std::vector<error>>(error_list(std::move(fault)));
        }
    }
    const base::result<void> replaced = replace_head(*predecessor, encoded);
    if (!replaced) {
        return tl::unexpected<std::vector<error>>(error_list(replaced.error()));
    }
    return published_release{change, std::make_shared<const fleet_config>(next)};
}

base::result<std::size_t> publisher::remove_unused_chunks(std::size_t limit) {
    const base::result<stored_object> object = store_.read(head_name());
    if (!object) {
        return tl::unexpected<error>(object.error());
    }
    const base::result<release_head> head = decode_head(object->value);
    if (!head) {
        return tl::unexpected<error>(head.error());
    }
    const base::result<std::vector<base::object_name>> names = store_.list(chunk_prefix);
    if (!names) {
        return tl::unexpected<error>(names.error());
    }
    const std::set<std::string> used = used_chunks(*head);
    std::size_t removed = 0;
    for (const base::object_name& name : *names) {
        if (removed == limit) {
            break;
        }
        const std::string ref = name.value().substr(std::string(chunk_prefix).size());
        if (used.count(ref) != 0 || !is_expired(ref, head->revision)) {
            continue;
        }
        const base::result<stored_object> chunk = store_.read(name);
        if (chunk && store_.remove(name, chunk->version)) {
            ++removed;
        }
    }
    return removed;
}

} // namespace bluebell::store
