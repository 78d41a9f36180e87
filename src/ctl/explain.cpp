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

/// Events that change what a router believes; the last ones before a request explain its outcome.
constexpr std::array<std::string_view, 15> view_events = {
    "started",      "stop_requested", "draining",         "state_changed",  "configuration_in_force",
    "store_failed", "store_regained", "history_lost",     "watching_store", "following_delegate",
    "overloaded",   "overload_over",  "delegate_changed", "member_changed", "settings_read"};
/// Of these, one router shows at most this many before the first line of the request.
constexpr std::size_t views_before = 5;

std::string text_of(const ordered_json& line, const char* name) {
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool is_view(const std::string& event) {
    return std::find(view_events.begin(), view_events.end(), event) != view_events.end();
}

} // namespace

void explanation::read(std::istream& log) {
    for (std::string line; std::getline(log, line);) {
        const std::size_t begin = line.find('{');
        if (begin == std::string::npos) {
            unreadable_ += line.find_first_not_of(" \t\r") == std::string::npos ? 0 : 1;
            continue;
        }
        const ordered_json parsed = ordered_json::parse(line.substr(begin), nullptr, false);
        record made;
        made.time = parsed.is_object() ? text_of(parsed, "time") : std::string();
        made.event = parsed.is_object() ? text_of(parsed, "event") : std::string();
        if (made.time.empty() || made.event.empty()) {
            ++unreadable_;
            continue;
        }
        made.process = text_of(parsed, "process");
        made.of_request = text_of(parsed, "request") == request_;
        if (!made.of_request && !is_view(made.event)) {
            continue;
        }
        made.line = parsed.dump();
        static const std::set<std::string> shown{"time", "level", "process", "event", "request"};
        for (const auto& [name, value] : parsed.items()) {
            if (shown.count(name) == 0) {
                made.fields.emplace_back(name, value.dump());
            }
        }
        records_.push_back(std::move(made));
    }
}

/// Lines of the request, and of the routers that it met: a few views before its first line and all until its
/// last one. Times of one format are in order as text.
std::vector<explanation::record> explanation::story() const {
    std::set<std::string> routers;
    std::string first;
    std::string last;
    for (const record& each : records_) {
        if (each.of_request) {
            routers.insert(each.process);
            first = first.empty() ? each.time : std::min(first, each.time);
            last = std::max(last, each.time);
        }
    }
    std::vector<record> told;
    std::copy_if(records_.begin(), records_.end(), std::back_inserter(told), [&](const record& each) {
        return each.of_request || (routers.count(each.process) != 0 && each.time <= last);
    });
    std::stable_sort(told.begin(), told.end(),
                     [](const record& a, const record& b) { return a.time < b.time; });
    std::vector<record> kept;
    std::vector<std::pair<std::string, std::size_t>> before;
    for (auto each = told.rbegin(); each != told.rend(); ++each) {
        if (each->of_request || each->time >= first) {
            kept.push_back(*each);
            continue;
        }
        auto count = std::find_if(before.begin(), before.end(),
                                  [&](const auto& known) { return known.first == each->process; });
        if (count == before.end()) {
            count = before.insert(before.end(), {each->process, 0});
        }
        if (count->second++ < views_before) {
            kept.push_back(*each);
        }
    }
    std::reverse(kept.begin(), kept.end());
    return kept;
}

exit_code explanation::print(std::ostream& out, std::ostream& err, bool json) const {
    const std::vector<record> told = story();
    if (unreadable_ > 0) {
        err << unreadable_ << " lines are no log lines and were left out\n";
    }
    if (json) {
        out << '[';
        for (std::size_t i = 0; i < told.size(); ++i) {
            out << (i == 0 ? "" : ",\n") << told[i].line;
        }
        out << "]\n";
    } else {
        for (const record& each : told) {
            out << each.time << "  " << each.process << "  " << (each.of_request ? "* " : "  ") << each.event;
            for (const auto& [name, value] : each.fields) {
                out << "  " << name << '=' << value;
            }
            out << '\n';
        }
    }
    if (told.empty()) {
        err << "no line names request " << request_ << '\n';
        return exit_code::failed;
    }
    return exit_code::done;
}

} // namespace bluebell::ctl
