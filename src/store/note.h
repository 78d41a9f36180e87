#pragma once

#include "base/error.h"
#include "decision/release.h"

#include <istream>
#include <string>
#include <vector>

namespace bluebell::store {

/// Parses a release note in the INI format of docs/releases.md. `file_name` is used in error locations only.
/// Names are not checked against a configuration; `decision::validate` does that.
/// Errors, all reported together and each with `FILE:LINE`: `note_malformed`, `note_unsupported_version`,
/// `note_invalid_value`, `settings_duplicate`, `settings_unknown_section`, `settings_unknown_key`,
/// `settings_missing`.
tl::expected<decision::release_note, std::vector<base::error>> parse_note(std::istream& in,
                                                                          const std::string& file_name);

/// Version of the note format that `parse_note` accepts.
constexpr int supported_note_format = 1;
constexpr std::size_t max_title_bytes = 200; ///< the release head stores the titles of the last changes

} // namespace bluebell::store
