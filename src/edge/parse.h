#pragma once

#include "base/error.h"
#include "decision/config.h"
#include "decision/exchange.h"
#include "decision/request.h"

#include <string>
#include <vector>

namespace bluebell::edge {

/// A request as it came over HTTP.
struct raw_request {
    std::string method;
    /// Without the query.
    std::string path;
    std::string query;
    std::vector<decision::field> fields;
    std::string body;
    /// The body is longer than the limit and was not kept.
    bool too_large = false;
};

struct parsed_request {
    decision::request what;
    decision::content carried;
};

/// Checks a request and takes out what decisions need. `id`, `arrived` and `deadline` of the result are left
/// to the caller. The place of an error is the name of the field at fault. Errors: `malformed_request`,
/// `missing_field`, `invalid_field`, `unknown_client_account`, `unknown_pool`, `body_too_large`,
/// `idempotency_key_required`.
base::result<parsed_request> parse_request(const raw_request& raw, const decision::fleet_config& config);

} // namespace bluebell::edge
