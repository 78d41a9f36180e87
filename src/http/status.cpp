#include "http/status.h"

#include <charconv>

namespace bluebell::http {
namespace {

constexpr std::string_view major_version = "HTTP/1.";
constexpr std::size_t status_position = major_version.size() + 2; // after the minor version and a space
constexpr std::size_t status_digits = 3;
constexpr int lowest_status = 100;
constexpr int highest_status = 599;

} // namespace

std::optional<int> parse_status(std::string_view status_line) {
    if (status_line.size() < status_position + status_digits ||
        status_line.substr(0, major_version.size()) != major_version ||
        status_line[status_position - 1] != ' ') {
        return std::nullopt;
    }
    constexpr std::string_view ends = " \r\n";
    const std::string_view rest = status_line.substr(status_position + status_digits);
    if (!rest.empty() && ends.find(rest.front()) == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = status_line.substr(status_position, status_digits);
    unsigned status = 0;
    const std::from_chars_result parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), status);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    const int value = static_cast<int>(status);
    return whole && value >= lowest_status && value <= highest_status ? std::optional<int>(value)
                                                                      : std::nullopt;
}

} // namespace bluebell::http
