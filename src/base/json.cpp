#include "base/json.h"

#include <cxxtools/jsondeserializer.h>
#include <exception>
#include <sstream>

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

result<cxxtools::SerializationInfo> parse_json(const std::string& text, error_code code,
                                               const std::string& location) {
    const result<void> depth = check_json_depth(text, code, location);
    if (!depth) {
        return tl::unexpected<error>(depth.error());
    }
    try {
        std::istringstream in(text);
        cxxtools::JsonDeserializer deserializer(in);
        cxxtools::SerializationInfo parsed;
        deserializer.deserialize(parsed);
        return parsed;
    } catch (const std::exception& cause) {
        return failure(code, location, std::string("the text is not JSON: ") + cause.what());
    }
}

} // namespace bluebell::base
