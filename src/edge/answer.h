#pragma once

#include "base/error.h"
#include "base/id.h"
#include "decision/request.h"

#include <string>

namespace bluebell::edge {

/// Returns the HTTP status that reports an error to a caller.
int http_status(base::error_code code);
/// Returns the HTTP status that reports an error and what is known of the request to a caller. A status that
/// says that the request did not run is returned only if that is so.
int http_status(base::error_code code, decision::outcome result);

/// Returns `{"error":{"code","message","field","outcome","request_id"}}`.
std::string error_body(const base::error& cause, decision::outcome result, const base::request_id& id);

/// Returns the last record of a streamed answer: `event: outcome` and a JSON object with `outcome`,
/// `request_id` and, if there is a cause, `error`.
std::string outcome_record(const decision::verdict& verdict, const base::request_id& id);

} // namespace bluebell::edge
