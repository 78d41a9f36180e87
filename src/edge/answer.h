#pragma once

#include "base/error.h"
#include "base/id.h"
#include "decision/request.h"

#include <string>

namespace bluebell::edge {

/// Returns the HTTP status that reports an error to a caller.
int http_status(base::error_code code);

/// Returns `{"error":{"code","message","field","outcome","request_id"}}`.
std::string error_body(const base::error& cause, decision::outcome result, const base::request_id& id);

/// Returns the last record of a streamed answer: `event: outcome` and a JSON object with `outcome`,
/// `request_id` and, if there is a cause, `error`.
std::string outcome_record(const decision::verdict& verdict, const base::request_id& id);

} // namespace bluebell::edge
