#include "edge/parse.h"

#include "base/hash.h"
#include "base/json.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <cxxtools/serializationinfo.h>
#include <strings.h>
#include <utility>

namespace bluebell::edge {
namespace {

using base::error_code;
using base::failure;

constexpr std::string_view completions_path = "/v1/chat/completions";
constexpr std::string_view services_path = "/services/";
constexpr std::size_t max_key_bytes = 256;
constexpr double max_cost_hint = 1e9;
constexpr std::int64_t max_tokens_limit = 1000000;
constexpr std::size_t bytes_per_token = 4;

/// Returns the value of the first field with this name in any case, or null.
const std::string* find_field(const raw_request& raw, const char* name) {
    for (const decision::field& field : raw.fields) {
        if (strcasecmp(field.name.c_str(), name) == 0) {
            return &field.value;
        }
    }
    return nullptr;
}

/// Returns whether a field is not forwarded: it belongs to the connection, or this router sets or interprets
/// it.
bool is_consumed(const std::string& name) {
    constexpr std::array<const char*, 15> names = {
        "connection", "content-length", "expect",           "host",      "keep-alive", "proxy-connection",
        "repeatable", "request-class",  "cost-hint",        "stream-id", "te",         "trailer",
        "upgrade",    "request-id",     "transfer-encoding"};
    return std::any_of(names.begin(), names.end(),
                       [&name](const char* consumed) { return strcasecmp(consumed, name.c_str()) == 0; });
}

/// Checks that nothing follows the object; cxxtools accepts text after its end.
base::result<void> check_end(const std::string& json) {
    int depth = 0;
    bool in_string = false;
    bool ended = false;
    for (std::size_t i = 0; i < json.size(); ++i) {
        const char c = json[i];
        if (ended && std::isspace(static_cast<unsigned char>(c)) == 0) {
            return failure(error_code::malformed_request, "body", "the body goes on after the JSON object");
        }
        if (in_string) {
            i += c == '\\' ? 1 : 0;
            in_string = c != '"';
        } else if (c == '"') {
            in_string = true;
        } else if (c == '{' || c == '[') {
            ++depth;
        } else if (c == '}' || c == ']') {
            ended = --depth == 0;
        }
    }
    return {};
}

base::result<cxxtools::SerializationInfo> parse_object(const std::string& body) {
    const base::result<void> end = check_end(body);
    if (!end) {
        return tl::unexpected<base::error>(end.error());
    }
    base::result<cxxtools::SerializationInfo> parsed =
        base::parse_json(body, error_code::malformed_request, "body");
    if (!parsed) {
        return parsed;
    }
    if (parsed->category() != cxxtools::SerializationInfo::Object || parsed->memberCount() == 0) {
        return failure(error_code::malformed_request, "body", "the body is not a JSON object");
    }
    return parsed;
}

/// Reads the header fields that every kind of request has: account, class, cost hint and repeatability.
class header_reader {
public:
    explicit header_reader(const raw_request& raw) : raw_(raw) {}

    base::result<void> read(const decision::fleet_config& config, bool repeatable_default,
                            decision::request& attributes) const {
        base::result<void> result = read_account(config, attributes);
        result = result ? read_class(attributes) : result;
        result = result ? read_hint(attributes) : result;
        return result ? read_repeatable(repeatable_default, attributes) : result;
    }

private:
    base::result<void> read_account(const decision::fleet_config& config,
                                    decision::request& attributes) const {
        const std::string* const name = find_field(raw_, "Client-Account");
        if (name == nullptr || name->empty()) {
            return failure(error_code::unknown_client_account, "Client-Account",
                           "the request names no account");
        }
        attributes.account = base::client_account_id(*name);
        if (config.accounts.count(attributes.account) == 0) {
            return failure(error_code::unknown_client_account, "Client-Account", "the account is not known");
        }
        return {};
    }

    base::result<void> read_class(decision::request& attributes) const {
        const std::string* const text = find_field(raw_, "Request-Class");
        if (text == nullptr) {
            return {};
        }
        for (const decision::request_class candidate :
             {decision::request_class::urgent, decision::request_class::ordinary,
              decision::request_class::patient}) {
            if (*text == decision::to_string(candidate)) {
                attributes.priority = candidate;
                return {};
            }
        }
        return failure(error_code::invalid_field, "Request-Class", "must be urgent, ordinary or patient");
    }

    base::result<void> read_hint(decision::request& attributes) const {
        const std::string* const text = find_field(raw_, "Cost-Hint");
        if (text == nullptr) {
            return {};
        }
        char* end = nullptr;
        const double hint = std::strtod(text->c_str(), &end);
        if (text->empty() || *end != '\0' || !(hint > 0) || hint > max_cost_hint) {
            return failure(error_code::invalid_field, "Cost-Hint",
                           "must be a number above 0 and at most 1e9");
        }
        attributes.hint = base::cost(hint);
        return {};
    }

    base::result<void> read_repeatable(bool default_value, decision::request& attributes) const {
        attributes.repeatable = default_value;
        const std::string* const text = find_field(raw_, "Repeatable");
        if (text != nullptr) {
            if (*text != "yes" && *text != "no") {
                return failure(error_code::invalid_field, "Repeatable", "must be yes or no");
            }
            attributes.repeatable = *text == "yes";
        }
        if (attributes.repeatable) {
            return {};
        }
        const std::string* const key = find_field(raw_, "Idempotency-Key");
        if (key == nullptr || key->empty()) {
            return failure(error_code::idempotency_key_required, "Idempotency-Key",
                           "a request that may not be repeated needs a key");
        }
        if (key->size() > max_key_bytes) {
            return failure(error_code::invalid_field, "Idempotency-Key", "must have at most 256 bytes");
        }
        attributes.key = base::key_hash(base::stable_hash_128(
            {attributes.account.value(), attributes.pool.value(), std::string_view(*key)}));
        return {};
    }

    const raw_request& raw_;
};

/// Checks that the pool exists and has this kind, and sets its default cost unless the request has a hint.
base::result<void> find_pool(const decision::fleet_config& config, decision::pool_kind kind,
                             const char* location, decision::request& attributes) {
    const std::map<base::pool_id, decision::pool>::const_iterator found = config.pools.find(attributes.pool);
    if (found == config.pools.end() || found->second.kind != kind) {
        return failure(error_code::unknown_pool, location, "no pool has this name");
    }
    if (attributes.hint == base::cost()) {
        attributes.hint = found->second.default_cost;
    }
    return {};
}

/// Sets the forwarded fields, the size and the fingerprint of the body.
void complete_request(const raw_request& raw, parsed_request& parsed) {
    parsed.content.method = raw.method;
    parsed.content.body = raw.body;
    for (const decision::field& field : raw.fields) {
        if (!is_consumed(field.name)) {
            parsed.content.fields.push_back(field);
        }
    }
    parsed.attributes.body_size = base::byte_count(raw.body.size());
    parsed.attributes.body_fingerprint = base::fingerprint(
        base::stable_hash_128({parsed.attributes.account.value(), parsed.attributes.pool.value(), raw.method,
                               parsed.content.path, raw.body})
            .low);
}

base::result<void> check_messages(const cxxtools::SerializationInfo& object) {
    const cxxtools::SerializationInfo* const messages = object.findMember("messages");
    if (messages == nullptr) {
        return failure(error_code::missing_field, "messages", "the request has no messages");
    }
    if (messages->category() != cxxtools::SerializationInfo::Array || messages->memberCount() == 0) {
        return failure(error_code::invalid_field, "messages", "must be an array with at least one message");
    }
    for (const cxxtools::SerializationInfo& message : *messages) {
        const cxxtools::SerializationInfo* const role = message.findMember("role");
        if (role == nullptr || message.findMember("content") == nullptr) {
            return failure(error_code::invalid_field, "messages", "each message needs role and content");
        }
    }
    return {};
}

/// cxxtools keeps the type of a JSON value as a name and the value itself as text.
bool is_type(const cxxtools::SerializationInfo& value, const char* type) {
    return value.category() == cxxtools::SerializationInfo::Value && value.typeName() == type;
}

base::result<void> read_stream(const cxxtools::SerializationInfo& object, parsed_request& parsed) {
    const cxxtools::SerializationInfo* const stream = object.findMember("stream");
    if (stream == nullptr || stream->isNull()) {
        return {};
    }
    if (!is_type(*stream, "bool")) {
        return failure(error_code::invalid_field, "stream", "must be true or false");
    }
    stream->getValue(parsed.content.streamed);
    return {};
}

base::result<void> read_max_tokens(const cxxtools::SerializationInfo& object, parsed_request& parsed) {
    const cxxtools::SerializationInfo* const member = object.findMember("max_tokens");
    if (member == nullptr || member->isNull()) {
        return {};
    }
    std::int64_t tokens = 0;
    if (is_type(*member, "int")) {
        member->getValue(tokens);
    }
    if (tokens < 1 || tokens > max_tokens_limit) {
        return failure(error_code::invalid_field, "max_tokens", "must be a whole number from 1 to 1000000");
    }
    if (parsed.attributes.hint == base::cost()) {
        const std::size_t prompt = parsed.content.body.size() / bytes_per_token;
        parsed.attributes.hint = base::cost(static_cast<double>(tokens) + static_cast<double>(prompt));
    }
    return {};
}

base::result<parsed_request> parse_completion(const raw_request& raw, const decision::fleet_config& config) {
    if (raw.method != "POST") {
        return failure(error_code::malformed_request, "method", "must be POST");
    }
    const base::result<cxxtools::SerializationInfo> object = parse_object(raw.body);
    if (!object) {
        return tl::unexpected<base::error>(object.error());
    }
    const cxxtools::SerializationInfo* const model = object->findMember("model");
    if (model == nullptr) {
        return failure(error_code::missing_field, "model", "the request names no model");
    }
    if (!is_type(*model, "string")) {
        return failure(error_code::invalid_field, "model", "must be a text");
    }
    if (object->findMember("resume_from") != nullptr) {
        return failure(error_code::invalid_field, "resume_from", "is reserved for routers");
    }
    parsed_request parsed;
    std::string name;
    model->getValue(name);
    parsed.attributes.pool = base::pool_id(name);
    parsed.content.path = std::string(completions_path);
    parsed.content.body = raw.body;
    base::result<void> result = header_reader(raw).read(config, true, parsed.attributes);
    result = result ? check_messages(*object) : result;
    result = result ? read_stream(*object, parsed) : result;
    result = result ? read_max_tokens(*object, parsed) : result;
    result = result ? find_pool(config, decision::pool_kind::model, "model", parsed.attributes) : result;
    if (!result) {
        return tl::unexpected<base::error>(result.error());
    }
    complete_request(raw, parsed);
    return parsed;
}

base::result<parsed_request> parse_service(const raw_request& raw, const decision::fleet_config& config) {
    const std::string rest = raw.path.substr(services_path.size());
    const std::size_t slash = rest.find('/');
    parsed_request parsed;
    parsed.attributes.pool = base::pool_id(rest.substr(0, slash));
    parsed.content.path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!raw.query.empty()) {
        parsed.content.path += '?' + raw.query;
    }
    constexpr std::array<std::string_view, 4> repeatable_methods = {"GET", "HEAD", "PUT", "DELETE"};
    const bool repeatable_method = std::find(repeatable_methods.begin(), repeatable_methods.end(),
                                             raw.method) != repeatable_methods.end();
    base::result<void> result = header_reader(raw).read(config, repeatable_method, parsed.attributes);
    result = result ? find_pool(config, decision::pool_kind::service, "path", parsed.attributes) : result;
    if (!result) {
        return tl::unexpected<base::error>(result.error());
    }
    complete_request(raw, parsed);
    return parsed;
}

} // namespace

base::result<parsed_request> parse_request(const raw_request& raw, const decision::fleet_config& config) {
    if (raw.too_large) {
        return failure(error_code::body_too_large, "body", "the body is longer than the limit");
    }
    if (raw.path == completions_path) {
        return parse_completion(raw, config);
    }
    if (raw.path.rfind(services_path, 0) == 0) {
        return parse_service(raw, config);
    }
    return failure(error_code::unknown_pool, "path", "nothing is served under this path");
}

} // namespace bluebell::edge
