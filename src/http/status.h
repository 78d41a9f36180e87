#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace bluebell::http {

/// Bytes at the start of a status line that decide whether it is valid: version, status and the byte after
/// it.
constexpr std::size_t status_line_prefix_bytes = 13;

/// Returns the status in a status line, of which the first `status_line_prefix_bytes` suffice; empty unless
/// the line has version 1.x, one space, and a status from 100 to 599 with exactly three digits that ends in a
/// space or with the line (RFC 9112, section 4; RFC 9110, section 15). Thread safety: may be called by any
/// thread.
std::optional<int> parse_status(std::string_view status_line);

} // namespace bluebell::http
