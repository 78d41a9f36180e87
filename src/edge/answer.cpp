#include "edge/answer.h"

#include "base/log.h"

namespace bluebell::edge {
namespace {

std::string error_object(const base::error& cause, decision::outcome result, const base::request_id& id) {
    return "{\"code\":" + base::json_quote(base::to_string(cause.code)) +
           ",\"message\":" + base::json_quote(cause.text) + ",\"field\":" + base::json_quote(cause.location) +
           ",\"outcome\":" + base::json_quote(decision::to_string(result)) +
           ",\"request_id\":" + base::json_quote(base::to_hex(id.value())) + '}';
}

} // namespace

int http_status(base::error_code code) {
    using base::error_code;
    switch (code) {
    case error_code::malformed_request:
    case error_code::missing_field:
        return 400;
    case error_code::unknown_client_account:
        return 401;
    case error_code::unknown_pool:
        return 404;
    case error_code::key_in_progress:
    case error_code::key_already_ran:
        return 409;
    case error_code::header_too_large:
        return 431;
    case error_code::body_too_large:
        return 413;
    case error_code::invalid_field:
    case error_code::idempotency_key_required:
    case error_code::poison_request:
        return 422;
    case error_code::queue_full:
    case error_code::over_fair_share:
        return 429;
    case error_code::upstream_refused_connection:
    case error_code::upstream_closed_connection:
    case error_code::upstream_malformed_answer:
    case error_code::upstream_error_status:
        return 502;
    case error_code::deadline_exceeded:
    case error_code::upstream_silent:
        return 504;
    default:
        // The other errors are temporary: draining, not ready, isolated, no upstream, store unavailable, no
        // retry left.
        return 503;
    }
}

int http_status(base::error_code code, decision::outcome result) {
    const int status = http_status(code);
    const bool says_not_run = status == 429 || status == 503;
    if (!says_not_run || result != decision::outcome::outcome_unknown) {
        return status;
    }
    return code == base::error_code::draining ? 504 : 502;
}

std::string error_body(const base::error& cause, decision::outcome result, const base::request_id& id) {
    return "{\"error\":" + error_object(cause, result, id) + '}';
}

std::string outcome_record(const decision::verdict& verdict, const base::request_id& id) {
    std::string text =
        "event: outcome\ndata: {\"outcome\":" + base::json_quote(decision::to_string(verdict.result)) +
        ",\"request_id\":" + base::json_quote(base::to_hex(id.value()));
    if (verdict.cause) {
        text += ",\"error\":" + error_object(*verdict.cause, verdict.result, id);
    }
    return text + "}\n\n";
}

} // namespace bluebell::edge
