#include "store/http.h"

#include "base/json.h"
#include "base/percent.h"

#include <charconv>
#include <cxxtools/http/reply.h>
#include <cxxtools/ioerror.h>
#include <cxxtools/json.h>
#include <cxxtools/serializationinfo.h>
#include <optional>
#include <sstream>

namespace bluebell::store {
namespace {

using base::error_code;

/// Beginning of the exception text of cxxtools for a failed connect.
constexpr const char* connect_failure_text = "while trying to connect";

cxxtools::Milliseconds to_milliseconds(base::duration time) {
    return cxxtools::Milliseconds(std::chrono::duration<double, std::milli>(time).count());
}

/// Percent-encodes a path or a part of one.
std::string encode_path(const std::string& text) {
    return base::percent_encode(text, "/");
}

std::string object_path(const base::object_name& name) {
    return "/objects/" + encode_path(name.value());
}

std::string etag(base::object_version version) {
    return '"' + std::to_string(version.value()) + '"';
}

base::object_version parse_etag(const char* header) {
    std::uint64_t version = 0;
    if (header != nullptr && *header == '"') {
        const std::string text(header + 1);
        std::from_chars(text.data(), text.data() + text.size(), version);
    }
    return base::object_version(version);
}

/// Maps a status other than 200 to an error; a status of 500 and above maps to `server_error`.
tl::unexpected<base::error> status_failure(unsigned status, const std::string& place,
                                           error_code server_error) {
    const std::string text = "the object store answered with status " + std::to_string(status);
    switch (status) {
    case 404:
        return base::failure(error_code::store_not_found, place, "the object does not exist");
    case 412:
        return base::failure(error_code::store_conflict, place, "the object has another version");
    case 413:
        return base::failure(error_code::value_too_large, place, "the value exceeds the limit of the store");
    case 429:
        return base::failure(error_code::store_rate_limited, place, "the call rate of the store is exceeded");
    default:
        return base::failure(status >= 500 ? server_error : error_code::store_malformed, place, text);
    }
}

/// Checks the status of a call that changes state. A gateway may send a status of 500 and above after the
/// server has carried out the call, so the outcome is then unknown.
base::result<http_answer> check_change(base::result<http_answer> answer, const std::string& place) {
    if (answer && answer->status != 200) {
        return status_failure(answer->status, place, error_code::store_answer_lost);
    }
    return answer;
}

/// Checks the status of a call without side effects.
base::result<http_answer> check_read(base::result<http_answer> answer, const std::string& place) {
    if (answer && answer->status != 200) {
        return status_failure(answer->status, place, error_code::store_unavailable);
    }
    return answer;
}

/// Pre-condition: `answer` is an error or has status 200.
base::result<stored_object> to_object(base::result<http_answer> answer, const base::object_name& name) {
    if (!answer) {
        return tl::unexpected<base::error>(answer.error());
    }
    if (answer->version == base::object_version(0)) {
        return base::failure(error_code::store_malformed, name.value(), "the answer has no version");
    }
    return stored_object{std::move(answer->body), answer->version};
}

/// Parses one entry of the VM list; empty if a value is invalid. Throws if a member is missing.
/// Pre-condition: `json_object` is a JSON object.
std::optional<decision::vm_entry> read_vm(const cxxtools::SerializationInfo& json_object) {
    std::string vm;
    std::string data_centre;
    std::string control;
    std::string admin;
    decision::vm_entry entry;
    json_object.getMember("vm") >>= vm;
    json_object.getMember("data_centre") >>= data_centre;
    json_object.getMember("control") >>= control;
    json_object.getMember("admin") >>= admin;
    json_object.getMember("leaving", entry.leaving);
    const std::optional<decision::endpoint> control_address = decision::parse_endpoint(control);
    const std::optional<decision::endpoint> admin_address = decision::parse_endpoint(admin);
    if (vm.empty() || !control_address || !admin_address) {
        return std::nullopt;
    }
    entry.vm = base::vm_id(vm);
    entry.data_centre = base::data_centre_id(data_centre);
    entry.control = *control_address;
    entry.admin = *admin_address;
    return entry;
}

} // namespace

http_connection::http_connection(decision::endpoint server, call_limits limits)
    : server_(std::move(server)), limits_(limits), client_(server_.address, server_.port) {}

void http_connection::reset() {
    // `close` does not clear the error state of the stream, so the next call would fail too.
    client_ = cxxtools::http::Client(server_.address, server_.port);
}

http_answer http_connection::execute(const cxxtools::http::Request& request, base::duration timeout) {
    client_.execute(request, to_milliseconds(timeout), to_milliseconds(limits_.connect));
    client_.readBody();
    return {client_.header().httpReturnCode(), client_.body(), parse_etag(client_.reply().getHeader("ETag"))};
}

base::result<http_answer> http_connection::get(const cxxtools::http::Request& request,
                                               base::duration timeout) {
    try {
        return execute(request, timeout);
    } catch (const std::exception& exception) {
        reset();
        return base::failure(error_code::store_unavailable, to_string(server_) + request.url(),
                             exception.what());
    }
}

base::result<http_answer> http_connection::fetch(const std::string& path, const std::string& query) {
    cxxtools::http::Request request(path);
    request.qparams(query);
    return get(request, limits_.answer);
}

base::result<http_answer> http_connection::wait(const std::string& path, const std::string& query,
                                                base::object_version known_version,
                                                base::duration extra_wait) {
    cxxtools::http::Request request(path);
    request.qparams(query);
    request.setHeader("If-None-Match", etag(known_version).c_str());
    return get(request, limits_.answer + extra_wait);
}

base::result<http_answer> http_connection::change(cxxtools::http::Request& request) {
    // cxxtools resends a request when a persistent connection breaks before the answer. A conditional update
    // that took effect the first time would then be reported as a conflict with another writer, so each
    // request that changes state uses a new connection.
    reset();
    const std::string place = to_string(server_) + request.url();
    try {
        return execute(request, limits_.answer);
    } catch (const cxxtools::IOTimeout& exception) {
        // Thrown only when the connect times out; a timeout of the answer throws a plain `IOError`.
        reset();
        return base::failure(error_code::store_unavailable, place, "connect timed out");
    } catch (const std::exception& exception) {
        reset();
        const std::string text = exception.what();
        const bool never_connected = text.rfind(connect_failure_text, 0) == 0;
        return base::failure(never_connected ? error_code::store_unavailable : error_code::store_answer_lost,
                             place, text);
    }
}

http_object_store::http_object_store(const decision::endpoint& server, call_limits limits)
    : connection_(server, limits) {}

base::result<stored_object> http_object_store::read(const base::object_name& name) {
    return to_object(check_read(connection_.fetch(object_path(name), ""), name.value()), name);
}

base::result<stored_object> http_object_store::watch(const base::object_name& name,
                                                     base::object_version known_version,
                                                     base::duration timeout) {
    const long long timeout_ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    const std::string query =
        "watch=" + std::to_string(known_version.value()) + "&timeout_ms=" + std::to_string(timeout_ms);
    base::result<http_answer> answer = connection_.wait(object_path(name), query, known_version, timeout);
    if (answer && answer->status == 304) {
        return stored_object{"", known_version};
    }
    return to_object(check_read(std::move(answer), name.value()), name);
}

base::result<base::object_version> http_object_store::update(const base::object_name& name,
                                                             const std::string& value,
                                                             base::object_version expected) {
    cxxtools::http::Request request(object_path(name));
    request.method("PUT");
    if (expected == base::object_version(0)) {
        request.setHeader("If-None-Match", "*");
    } else {
        request.setHeader("If-Match", etag(expected).c_str());
    }
    request.body() << value;
    const base::result<http_answer> answer = check_change(connection_.change(request), name.value());
    if (!answer) {
        return tl::unexpected<base::error>(answer.error());
    }
    if (answer->version == base::object_version(0)) {
        return base::failure(error_code::store_answer_lost, name.value(), "the answer has no version");
    }
    return answer->version;
}

base::result<void> http_object_store::remove(const base::object_name& name, base::object_version expected) {
    cxxtools::http::Request request(object_path(name));
    request.method("DELETE");
    request.setHeader("If-Match", etag(expected).c_str());
    const base::result<http_answer> answer = check_change(connection_.change(request), name.value());
    if (!answer) {
        return tl::unexpected<base::error>(answer.error());
    }
    return {};
}

base::result<std::vector<base::object_name>> http_object_store::list(const std::string& prefix) {
    const base::result<http_answer> answer =
        check_read(connection_.fetch("/objects", "prefix=" + encode_path(prefix)), prefix);
    if (!answer) {
        return tl::unexpected<base::error>(answer.error());
    }
    const base::result<cxxtools::SerializationInfo> listing =
        base::parse_json(answer->body, error_code::store_malformed, prefix);
    if (!listing) {
        return tl::unexpected<base::error>(listing.error());
    }
    try {
        std::vector<std::string> texts;
        listing->getMember("names") >>= texts;
        std::vector<base::object_name> names;
        for (const std::string& text : texts) {
            names.emplace_back(text);
        }
        return names;
    } catch (const std::exception& exception) {
        return base::failure(error_code::store_malformed, prefix, exception.what());
    }
}

http_vm_list::http_vm_list(const decision::endpoint& server, call_limits limits)
    : connection_(server, limits) {}

base::result<std::vector<decision::vm_entry>> http_vm_list::read() {
    const base::result<http_answer> answer = check_read(connection_.fetch("/vms", ""), "/vms");
    if (!answer) {
        return tl::unexpected<base::error>(answer.error());
    }
    return decode_vms(answer->body);
}

std::string encode_vms(const std::vector<decision::vm_entry>& vms) {
    cxxtools::SerializationInfo si;
    cxxtools::SerializationInfo& list = si.addMember("vms");
    list.setCategory(cxxtools::SerializationInfo::Array);
    for (const decision::vm_entry& vm : vms) {
        cxxtools::SerializationInfo& entry = list.addMember();
        entry.addValue("vm", vm.vm.value());
        entry.addValue("data_centre", vm.data_centre.value());
        entry.addValue("control", to_string(vm.control));
        entry.addValue("admin", to_string(vm.admin));
        entry.addValue("leaving", vm.leaving);
    }
    std::ostringstream out;
    out << cxxtools::Json(si);
    return out.str();
}

base::result<std::vector<decision::vm_entry>> decode_vms(const std::string& json) {
    const base::result<cxxtools::SerializationInfo> listing =
        base::parse_json(json, error_code::store_malformed, "/vms");
    if (!listing) {
        return tl::unexpected<base::error>(listing.error());
    }
    try {
        std::vector<decision::vm_entry> vms;
        for (const cxxtools::SerializationInfo& member : listing->getMember("vms")) {
            std::optional<decision::vm_entry> entry = read_vm(member);
            if (!entry) {
                return base::failure(error_code::store_malformed, "/vms",
                                     "entry " + std::to_string(vms.size()) + " has a bad name or address");
            }
            vms.push_back(std::move(*entry));
        }
        return vms;
    } catch (const std::exception& exception) {
        return base::failure(error_code::store_malformed, "/vms", exception.what());
    }
}

} // namespace bluebell::store
