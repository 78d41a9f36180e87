#pragma once

#include "base/error.h"
#include "decision/config.h"
#include "decision/exchange.h"
#include "decision/request.h"

#include <string>
#include <vector>

namespace bluebell::edge {

/// A request as received over HTTP.
struct raw_request {
    std::string method;
    /// Without the query.
    std::string path;
    std::string query;
    std::vector<decision::field> fields;
    std::string body;
    /// The body exceeded the limit and was dropped.
    bool too_large = false;
};

/// The attributes that decisions need, and the content for the upstream.
struct parsed_request {
    decision::request attributes;
    decision::content content;
};

/// Checks a request and extracts its attributes and content. `id`, `arrived` and `deadline` of the result are
/// not set. The location of an error is the name of the field at fault. Errors: `malformed_request`,
/// `missing_field`, `invalid_field`, `unknown_client_account`, `unknown_pool`, `body_too_large`,
/// `idempotency_key_required`.
base::result<parsed_request> parse_request(const raw_request& raw, const decision::fleet_config& config);

} // namespace bluebell::edge
