#include "standin/objects.h"

#include "edge/host.h"

#include <algorithm>
#include <cstring>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/json.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>
#include <cxxtools/serializationinfo.h>
#include <sstream>
#include <stdexcept>

namespace bluebell::standin {
namespace {

constexpr std::size_t max_value_bytes = 1U << 20U;
constexpr unsigned server_threads = 200; // each waiting watch holds one
constexpr std::chrono::milliseconds watch_limit = std::chrono::seconds(60);
constexpr std::chrono::milliseconds silent_limit = std::chrono::seconds(30);
constexpr const char* objects_prefix = "/objects/";

/// Thrown out of a responder so that the server closes the connection without an answer.
class answer_lost : public std::exception {};

std::optional<std::uint64_t> parse_etag(const char* header) {
    if (header == nullptr || *header != '"') {
        return std::nullopt;
    }
    return std::stoull(header + 1);
}

std::string to_json(const std::vector<std::string>& names) {
    cxxtools::SerializationInfo si;
    si.addMember("names") <<= names;
    std::ostringstream out;
    out << cxxtools::Json(si);
    return out.str();
}

std::string to_json(const object_counters& counters) {
    cxxtools::SerializationInfo si;
    si.addValue("reads", counters.reads);
    si.addValue("writes", counters.writes);
    si.addValue("watches", counters.watches);
    si.addValue("lists", counters.lists);
    si.addValue("vm_reads", counters.vm_reads);
    si.addValue("bytes_in", counters.bytes_in);
    si.addValue("bytes_out", counters.bytes_out);
    std::ostringstream out;
    out << cxxtools::Json(si);
    return out.str();
}

/// Parses the body of `PUT /fault`. Missing members keep their defaults, so `{}` ends all faults.
object_fault parse_fault(const std::string& json) {
    cxxtools::SerializationInfo si;
    std::istringstream in(json);
    in >> cxxtools::Json(si);
    object_fault fault;
    std::int64_t delay_ms = 0;
    si.getMember("outage", fault.outage);
    si.getMember("silent", fault.silent);
    si.getMember("delay_ms", delay_ms);
    si.getMember("lose_answers", fault.lose_answers);
    si.getMember("stale_reads", fault.stale_reads);
    si.getMember("writes_per_s", fault.writes_per_s);
    si.getMember("reads_per_s", fault.reads_per_s);
    fault.delay = std::chrono::milliseconds(delay_ms);
    return fault;
}

const char* status_text(unsigned status) {
    switch (status) {
    case 200:
        return "OK";
    case 304:
        return "Not Modified";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 412:
        return "Precondition Failed";
    case 413:
        return "Content Too Large";
    case 428:
        return "Precondition Required";
    case 429:
        return "Too Many Requests";
    default:
        return "Service Unavailable";
    }
}

std::uint16_t free_port_or_throw() {
    const std::uint16_t port = edge::free_port();
    if (port == 0) {
        throw std::runtime_error("no free port on the loopback address");
    }
    return port;
}

class object_responder final : public cxxtools::http::Responder {
public:
    object_responder(cxxtools::http::Service& service, object_table& table)
        : cxxtools::http::Responder(service), table_(table) {}

    void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override {
        const std::string& url = request.url();
        std::string body;
        unsigned status = 200;
        if (url == "/fault" && request.method() == "PUT") {
            table_.inject(parse_fault(request.bodyStr()));
        } else if (url == "/counters") {
            body = to_json(table_.counters());
        } else if (url == "/vms" && request.method() == "PUT") {
            table_.store_vms(request.bodyStr());
        } else {
            status = serve_platform(request, reply, body);
            table_.count_bytes(request.bodySize(), body.size());
        }
        reply.httpReturn(status, status_text(status));
        out << body;
    }

    void replyError(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply,
                    const std::exception& ex) override {
        if (dynamic_cast<const answer_lost*>(&ex) != nullptr) {
            throw answer_lost();
        }
        cxxtools::http::Responder::replyError(out, request, reply, ex);
    }

private:
    /// Serves a call of the object API and the VM list under the faults in effect. Returns the HTTP status.
    unsigned serve_platform(cxxtools::http::Request& request, cxxtools::http::Reply& reply,
                            std::string& body) {
        const object_fault fault = table_.faults();
        std::this_thread::sleep_for(fault.delay);
        if (fault.silent) {
            table_.wait_while_silent();
            throw answer_lost();
        }
        if (fault.outage) {
            return 503;
        }
        const std::string& url = request.url();
        if (url == "/vms") {
            return serve_text(table_.vms(), body);
        }
        if (url == "/objects") {
            const cxxtools::QueryParams params(request.qparams());
            const std::optional<std::vector<std::string>> names = table_.list(params.param("prefix", ""));
            return serve_text(names ? std::optional<std::string>(to_json(*names)) : std::nullopt, body);
        }
        if (url.rfind(objects_prefix, 0) != 0) {
            return 404;
        }
        object_answer answer = serve_object(request, url.substr(std::strlen(objects_prefix)));
        if (answer.lost) {
            throw answer_lost();
        }
        if (answer.status == 200 && parse_etag(request.getHeader("If-None-Match")) == answer.object.version) {
            answer.status = 304;
            answer.object.value.clear();
        }
        if (answer.status == 200 || answer.status == 304) {
            reply.setHeader("ETag", ('"' + std::to_string(answer.object.version) + '"').c_str());
        }
        body = std::move(answer.object.value);
        return answer.status;
    }

    /// Answers 429 if there is no text, since the table returns none above its rate limit.
    static unsigned serve_text(const std::optional<std::string>& text, std::string& body) {
        if (!text) {
            return 429;
        }
        body = *text;
        return 200;
    }

    object_answer serve_object(cxxtools::http::Request& request, const std::string& name) {
        std::optional<std::uint64_t> if_match = parse_etag(request.getHeader("If-Match"));
        const char* if_none_match = request.getHeader("If-None-Match");
        if (if_none_match != nullptr && std::strcmp(if_none_match, "*") == 0) {
            if_match = 0;
        }
        if (request.method() == "PUT") {
            return table_.write(name, request.bodyStr(), if_match);
        }
        if (request.method() == "DELETE") {
            return table_.remove(name, if_match);
        }
        if (request.method() != "GET") {
            return {405, {}, false};
        }
        const cxxtools::QueryParams params(request.qparams());
        if (!params.has("watch")) {
            return table_.read(name);
        }
        return table_.watch(name, std::stoull(params.param("watch")),
                            std::chrono::milliseconds(std::stoll(params.param("timeout_ms", "0"))));
    }

    object_table& table_;
};

class object_service final : public cxxtools::http::Service {
public:
    explicit object_service(object_table& table) : table_(table) {}

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request& /*request*/) override {
        return std::make_unique<object_responder>(*this, table_).release();
    }
    void releaseResponder(cxxtools::http::Responder* responder) override {
        const std::unique_ptr<cxxtools::http::Responder> owned(responder);
    }

private:
    object_table& table_;
};

} // namespace

bool object_table::admit(bucket& calls, std::uint32_t per_s) {
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    const double elapsed_s = std::chrono::duration<double>(now - calls.filled).count();
    calls.tokens = std::min<double>(per_s, calls.tokens + elapsed_s * per_s);
    calls.filled = now;
    if (calls.tokens < 1) {
        return false;
    }
    calls.tokens -= 1;
    return true;
}

bool object_table::lose_answer() {
    if (fault_.lose_answers == 0) {
        return false;
    }
    --fault_.lose_answers;
    return true;
}

std::uint64_t object_table::version_of(const std::string& name) const {
    const auto found = objects_.find(name);
    return found == objects_.end() ? 0 : found->second.current.version;
}

object_answer object_table::read(const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counters_.reads;
    if (!admit(reads_, fault_.reads_per_s)) {
        return {429, {}, false};
    }
    const auto found = objects_.find(name);
    if (found == objects_.end()) {
        return {404, {}, false};
    }
    if (fault_.stale_reads > 0 && found->second.previous) {
        --fault_.stale_reads;
        return {200, *found->second.previous, false};
    }
    return {200, found->second.current, false};
}

object_answer object_table::watch(const std::string& name, std::uint64_t known,
                                  std::chrono::milliseconds timeout) {
    std::unique_lock<std::mutex> lock(mutex_);
    ++counters_.watches;
    if (!admit(reads_, fault_.reads_per_s)) {
        return {429, {}, false};
    }
    changed_.wait_for(lock, std::min(timeout, watch_limit),
                      [&] { return closed_ || version_of(name) != known; });
    const auto found = objects_.find(name);
    if (found == objects_.end()) {
        return {404, {}, false};
    }
    return {200, found->second.current, false};
}

object_answer object_table::write(const std::string& name, const std::string& value,
                                  std::optional<std::uint64_t> if_match) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counters_.writes;
    if (!admit(writes_, fault_.writes_per_s)) {
        return {429, {}, false};
    }
    if (value.size() > max_value_bytes) {
        return {413, {}, false};
    }
    if (if_match && *if_match != version_of(name)) {
        return {412, {}, lose_answer()};
    }
    entry& changed = objects_[name];
    if (changed.current.version != 0) {
        changed.previous = std::move(changed.current);
    }
    changed.current = object_value{value, ++version_};
    changed_.notify_all();
    return {200, {"", version_}, lose_answer()};
}

object_answer object_table::remove(const std::string& name, std::optional<std::uint64_t> if_match) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counters_.writes;
    if (!admit(writes_, fault_.writes_per_s)) {
        return {429, {}, false};
    }
    const std::uint64_t version = version_of(name);
    if (version == 0) {
        return {404, {}, lose_answer()};
    }
    if (if_match && *if_match != version) {
        return {412, {}, lose_answer()};
    }
    objects_.erase(name);
    changed_.notify_all();
    return {200, {"", version}, lose_answer()};
}

std::optional<std::vector<std::string>> object_table::list(const std::string& prefix) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counters_.lists;
    if (!admit(reads_, fault_.reads_per_s)) {
        return std::nullopt;
    }
    std::vector<std::string> names;
    for (auto it = objects_.lower_bound(prefix); it != objects_.end() && it->first.rfind(prefix, 0) == 0;
         ++it) {
        names.push_back(it->first);
    }
    return names;
}

std::optional<std::string> object_table::vms() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counters_.vm_reads;
    if (!admit(reads_, fault_.reads_per_s)) {
        return std::nullopt;
    }
    return vms_;
}

void object_table::store_vms(const std::string& json) {
    const std::lock_guard<std::mutex> lock(mutex_);
    vms_ = json;
}

void object_table::inject(const object_fault& fault) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        fault_ = fault;
    }
    changed_.notify_all();
}

object_fault object_table::faults() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return fault_;
}

object_counters object_table::counters() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return counters_;
}

void object_table::count_bytes(std::uint64_t in, std::uint64_t out) {
    const std::lock_guard<std::mutex> lock(mutex_);
    counters_.bytes_in += in;
    counters_.bytes_out += out;
}

void object_table::close() {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        closed_ = true;
    }
    changed_.notify_all();
}

void object_table::wait_while_silent() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, silent_limit, [this] { return closed_ || !fault_.silent; });
}

object_server::object_server(std::uint16_t port)
    : port_(port != 0 ? port : free_port_or_throw()), service_(std::make_unique<object_service>(table_)),
      server_(std::make_unique<cxxtools::http::Server>(loop_, "127.0.0.1", port_)) {
    server_->minThreads(4);
    server_->maxThreads(server_threads);
    server_->addService(cxxtools::Regex(".*"), *service_);
    thread_ = std::thread([this] { loop_.run(); });
}

object_server::~object_server() {
    table_.close();
    loop_.exit();
    thread_.join();
    server_.reset();
}

} // namespace bluebell::standin
