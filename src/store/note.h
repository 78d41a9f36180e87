#pragma once

#include "base/error.h"
#include "decision/release.h"

#include <istream>
#include <string>
#include <vector>

namespace bluebell::store {

/// Reads a release note in the INI format of docs/releases.md. Names are not compared with a configuration;
/// `decision::validate` does that.
/// Errors, all at once and each with `FILE:LINE`: `note_malformed`, `note_unsupported_version`,
/// `note_invalid_value`, `settings_duplicate`, `settings_unknown_section`, `settings_unknown_key`,
/// `settings_missing`.
tl::expected<decision::release_note, std::vector<base::error>> parse_note(std::istream& in,
                                                                          const std::string& file_name);

/// Version of the format that `parse_note` reads.
constexpr int note_format = 1;
constexpr std::size_t title_limit = 200; ///< bytes; the head keeps the titles of the last changes

} // namespace bluebell::store
