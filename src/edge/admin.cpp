#include "edge/admin.h"

#include "base/log.h"
#include "edge/answer.h"
#include "edge/stream.h"

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/service.h>
#include <memory>
#include <ostream>
#include <utility>

namespace bluebell::edge {
namespace {

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;
constexpr int status_unavailable = 503;
const char* const json_type = "application/json";
const char* const metrics_type = "text/plain; version=0.0.4";
constexpr std::string_view config_path = "/config";

struct admin_answer {
    int status = status_ok;
    const char* type = json_type;
    std::string body;
};

admin_answer failure_answer(const base::error& cause) {
    const int status =
        cause.code == base::error_code::store_not_found ? status_not_found : http_status(cause.code);
    return {status, json_type,
            "{\"error\":{\"code\":" + base::json_quote(base::to_string(cause.code)) + ",\"message\":" +
                base::json_quote(cause.text) + ",\"field\":" + base::json_quote(cause.location) + "}}"};
}

class admin_responder final : public cxxtools::http::Responder {
public:
    admin_responder(cxxtools::http::Service& service, operations& router_operations)
        : Responder(service), operations_(router_operations) {}

    void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override {
        const admin_answer answer = serve(request.method(), request.url());
        reply.httpReturn(static_cast<unsigned>(answer.status), std::string(reason_phrase(answer.status)));
        reply.setHeader("Content-Type", answer.type);
        out << answer.body;
    }

private:
    admin_answer serve(const std::string& method, const std::string& path) {
        const bool is_drain = path == "/drain";
        if (method != (is_drain ? "POST" : "GET")) {
            return {status_method_not_allowed, json_type, "{}"};
        }
        if (is_drain) {
            operations_.drain();
            return {status_accepted, json_type, R"({"draining":true})"};
        }
        if (path == "/healthz") {
            return health();
        }
        if (path == "/readyz") {
            const base::result<void> ready = operations_.readiness();
            return ready ? admin_answer{status_ok, json_type, R"({"ready":true})"}
                         : failure_answer(ready.error());
        }
        if (path == "/metrics") {
            return {status_ok, metrics_type, operations_.metrics()};
        }
        if (path == "/dump") {
            return report(operations_.dump());
        }
        if (path == "/status") {
            return report(operations_.status());
        }
        if (path.compare(0, config_path.size(), config_path) == 0) {
            return config(path.substr(config_path.size()));
        }
        return {status_not_found, json_type, "{}"};
    }

    admin_answer health() const {
        const base::child_report tree = operations_.tree();
        return {tree.state == base::child_state::running ? status_ok : status_unavailable, json_type,
                to_json(tree)};
    }

    admin_answer report(const base::result<decision::state_report>& state) const {
        if (!state) {
            return failure_answer(state.error());
        }
        return {status_ok, json_type,
                "{\"tree\":" + to_json(operations_.tree()) + ",\"state\":" + to_json(*state) + '}'};
    }

    admin_answer config(const std::string& rest) {
        if (!rest.empty() && rest.front() != '/') {
            return {status_not_found, json_type, "{}"};
        }
        base::result<std::string> text = operations_.config(rest.empty() ? rest : rest.substr(1));
        return text ? admin_answer{status_ok, json_type, std::move(*text)} : failure_answer(text.error());
    }

    operations& operations_;
};

class admin_service final : public cxxtools::http::Service {
public:
    explicit admin_service(operations& router_operations) : operations_(router_operations) {}

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override {
        return std::make_unique<admin_responder>(*this, operations_).release();
    }
    void releaseResponder(cxxtools::http::Responder* responder) override {
        const std::unique_ptr<cxxtools::http::Responder> owned(responder);
    }

private:
    operations& operations_;
};

} // namespace

std::string to_json(const base::child_report& report) {
    std::string text = "{\"name\":" + base::json_quote(report.name) +
                       ",\"state\":" + base::json_quote(base::to_string(report.state)) +
                       ",\"restarts\":" + std::to_string(report.restarts) + ",\"children\":[";
    const char* separator = "";
    for (const base::child_report& child : report.children) {
        text += separator + to_json(child);
        separator = ",";
    }
    return text + "]}";
}

std::string to_json(const decision::state_report& report) {
    std::string text = "{";
    const char* separator = "";
    for (const decision::state_section& section : report) {
        text += separator + base::json_quote(section.name) + ":{";
        separator = "";
        for (const decision::state_value& value : section.values) {
            text += separator + base::json_quote(value.name) + ':' + value.json;
            separator = ",";
        }
        text += '}';
        separator = ",";
    }
    return text + '}';
}

admin::admin(admin_options options, operations& router_operations)
    : options_(std::move(options)), operations_(router_operations) {}

void admin::run(base::stop_signal& stop) {
    host_options server_options;
    server_options.address = options_.address;
    server_options.threads = options_.threads;
    admin_service service(operations_);
    host_.run(server_options, service, stop);
}

void admin::interrupt() {
    host_.exit();
}

} // namespace bluebell::edge
