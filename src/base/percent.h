#pragma once

#include <string>
#include <string_view>

namespace bluebell::base {

/// Percent-encodes everything but unreserved characters (RFC 3986) and those in `kept`.
std::string percent_encode(std::string_view text, std::string_view kept = {});

} // namespace bluebell::base
