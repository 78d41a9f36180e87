#pragma once

#include "ctl/command.h"

#include <istream>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace bluebell::ctl {

/// Collects the log lines of one request from the logs of several routers. For context it adds lines of the
/// routers that handled the request on the configuration, the store, the load and the members: the last few
/// before the request and all during it.
/// Thread safety: used by one thread.
class explanation {
public:
    explicit explanation(std::string request) : request_(std::move(request)) {}

    /// Adds the lines of one log. Skips the text before the first brace of a line, and counts lines that are
    /// not log lines.
    void read(std::istream& log);
    /// Prints the collected lines by time, as text or as a JSON array. Returns `failed` if no line names the
    /// request.
    exit_code print(std::ostream& out, std::ostream& err, bool json) const;

private:
    struct record {
        std::string time;
        std::string process;
        std::string event;
        /// The other fields with their values as JSON, in the order of the line.
        std::vector<std::pair<std::string, std::string>> fields;
        /// The whole line as JSON.
        std::string line;
        bool of_request = false;
    };
    [[nodiscard]] std::vector<record> select_records() const;

    const std::string request_;
    std::vector<record> records_;
    std::size_t malformed_lines_ = 0;
};

} // namespace bluebell::ctl
