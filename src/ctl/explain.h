#pragma once

#include "ctl/command.h"

#include <istream>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace bluebell::ctl {

/// Finds what logs say of one request, and what the routers that handled it believed at that time: lines of
/// the request, and the last lines before and all lines during it on the configuration, the store, the load
/// and the members of the same routers.
/// Thread safety: used by one thread.
class explanation {
public:
    explicit explanation(std::string request) : request_(std::move(request)) {}

    /// Takes the lines of one log; text before the first brace of a line is passed over.
    void read(std::istream& log);
    /// Prints the story in order of time. Returns `failed` if no line names the request.
    exit_code print(std::ostream& out, std::ostream& err, bool json) const;

private:
    struct record {
        std::string time;
        std::string process;
        std::string event;
        /// The other fields, as JSON members in the order of the line.
        std::vector<std::pair<std::string, std::string>> fields;
        std::string line;
        bool of_request = false;
    };
    [[nodiscard]] std::vector<record> story() const;

    const std::string request_;
    std::vector<record> records_;
    std::size_t unreadable_ = 0;
};

} // namespace bluebell::ctl
