#pragma once

#include "base/error.h"

#include <cxxtools/serializationinfo.h>
#include <string>
#include <string_view>

namespace bluebell::base {

/// Most levels of arrays and objects in JSON that other programs send. The parser of cxxtools and the copies
/// of nlohmann::json values recurse once for each level; 100,000 levels overflowed the stack.
constexpr int max_json_depth = 64;

/// Checks that a text has at most `max_json_depth` levels and no comments, which are not JSON but which
/// cxxtools accepts. Does not recurse, and does not check anything else. Must precede the parser for every
/// text that another program sent. The error has the given code and location.
result<void> check_json_depth(std::string_view text, error_code code, const std::string& location);

/// Parses a JSON text that another program sent, after `check_json_depth`. The error has the given code and
/// location.
result<cxxtools::SerializationInfo> parse_json(const std::string& text, error_code code,
                                               const std::string& location);

} // namespace bluebell::base
