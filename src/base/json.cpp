#include "base/json.h"

namespace bluebell::base {

result<void> check_json_depth(std::string_view text, error_code code, const std::string& location) {
    int depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (in_string) {
            i += c == '\\' ? 1 : 0;
            in_string = c != '"';
        } else if (c == '"') {
            in_string = true;
        } else if (c == '/') {
            return failure(code, location, "the JSON has a comment");
        } else if (c == '{' || c == '[') {
            if (++depth > max_json_depth) {
                return failure(code, location, "the JSON is nested too deeply");
            }
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return {};
}

} // namespace bluebell::base
