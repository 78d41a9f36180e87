#include "ctl/explain.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>

namespace bluebell::ctl {
namespace {

using nlohmann::ordered_json;

/// Events that change a router's view of the fleet; the last ones before a request explain its outcome.
constexpr std::array<std::string_view, 20> view_events = {"started",
                                                          "stop_requested",
                                                          "draining",
                                                          "state_changed",
                                                          "configuration_in_force",
                                                          "store_failed",
                                                          "store_regained",
                                                          "history_lost",
                                                          "watching_store",
                                                          "following_delegate",
                                                          "overloaded",
                                                          "overload_over",
                                                          "delegate_changed",
                                                          "member_changed",
                                                          "settings_read",
                                                          "blocked_after_crashes",
                                                          "upstream_leaving",
                                                          "upstream_paused",
                                                          "upstream_limited",
                                                          "upstream_limit_over"};
/// Largest number of view events of one router that are shown before the first line of the request.
constexpr std::size_t max_views_before = 5;

std::string text_member(const ordered_json& line, const char* name) {
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool is_view_event(const std::string& event) {
    return std::find(view_events.begin(), view_events.end(), event) != view_events.end();
}

} // namespace

void explanation::read(std::istream& log) {
    for (std::string line; std::getline(log, line);) {
        const std::size_t begin = line.find('{');
        if (begin == std::string::npos) {
            malformed_lines_ += line.find_first_not_of(" \t\r") == std::string::npos ? 0 : 1;
            continue;
        }
        const ordered_json parsed = ordered_json::parse(line.substr(begin), nullptr, false);
        record entry;
        entry.time = parsed.is_object() ? text_member(parsed, "time") : std::string();
        entry.event = parsed.is_object() ? text_member(parsed, "event") : std::string();
        if (entry.time.empty() || entry.event.empty()) {
            ++malformed_lines_;
            continue;
        }
        entry.process = text_member(parsed, "process");
        entry.of_request = text_member(parsed, "request") == request_;
        if (!entry.of_request && !is_view_event(entry.event)) {
            continue;
        }
        entry.line = parsed.dump();
        static const std::set<std::string> omitted_fields{"time", "level", "process", "event", "request"};
        for (const auto& [name, value] : parsed.items()) {
            if (omitted_fields.count(name) == 0) {
                entry.fields.emplace_back(name, value.dump());
            }
        }
        records_.push_back(std::move(entry));
    }
}

/// Returns the lines of the request by time, with the view events of the routers that handled it: a few of
/// each router before the first line of the request, and all up to its last line. All times have one format,
/// so they are compared as text.
std::vector<explanation::record> explanation::select_records() const {
    std::set<std::string> routers;
    std::string first;
    std::string last;
    for (const record& entry : records_) {
        if (entry.of_request) {
            routers.insert(entry.process);
            first = first.empty() ? entry.time : std::min(first, entry.time);
            last = std::max(last, entry.time);
        }
    }
    std::vector<record> candidates;
    std::copy_if(records_.begin(), records_.end(), std::back_inserter(candidates), [&](const record& entry) {
        return entry.of_request || (routers.count(entry.process) != 0 && entry.time <= last);
    });
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const record& a, const record& b) { return a.time < b.time; });
    std::vector<record> selected;
    std::vector<std::pair<std::string, std::size_t>> views_before;
    for (auto entry = candidates.rbegin(); entry != candidates.rend(); ++entry) {
        if (entry->of_request || entry->time >= first) {
            selected.push_back(*entry);
            continue;
        }
        auto count = std::find_if(views_before.begin(), views_before.end(),
                                  [&](const auto& router) { return router.first == entry->process; });
        if (count == views_before.end()) {
            count = views_before.insert(views_before.end(), {entry->process, 0});
        }
        if (count->second++ < max_views_before) {
            selected.push_back(*entry);
        }
    }
    std::reverse(selected.begin(), selected.end());
    return selected;
}

exit_code explanation::print(std::ostream& out, std::ostream& err, bool json) const {
    const std::vector<record> selected = select_records();
    if (malformed_lines_ > 0) {
        err << malformed_lines_ << " lines are no log lines and were left out\n";
    }
    if (json) {
        out << '[';
        for (std::size_t i = 0; i < selected.size(); ++i) {
            out << (i == 0 ? "" : ",\n") << selected[i].line;
        }
        out << "]\n";
    } else {
        for (const record& entry : selected) {
            out << entry.time << "  " << entry.process << "  " << (entry.of_request ? "* " : "  ")
                << entry.event;
            for (const auto& [name, value] : entry.fields) {
                out << "  " << name << '=' << value;
            }
            out << '\n';
        }
    }
    if (selected.empty()) {
        err << "no line names request " << request_ << '\n';
        return exit_code::failed;
    }
    return exit_code::done;
}

} // namespace bluebell::ctl
