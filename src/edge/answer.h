#pragma once

#include "base/error.h"
#include "base/id.h"
#include "decision/request.h"

#include <string>

namespace bluebell::edge {

/// HTTP status of a failure that a caller sees.
int status_of(base::error_code code);

/// `{"error":{"code","message","field","outcome","request_id"}}`.
std::string error_body(const base::error& cause, decision::outcome result, const base::request_id& id);

/// The last record of a streamed answer: `event: outcome` and a JSON object with `outcome`, `request_id` and,
/// if there is a cause, `error`.
std::string outcome_record(const decision::verdict& last, const base::request_id& id);

} // namespace bluebell::edge
