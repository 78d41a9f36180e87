#include "ctl/explain.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace {

using namespace bluebell;

const char* const logs =
    R"(   1.0 r1 {"time":"2026-01-01T00:00:01.000Z","level":"info","process":"r1","module":"dispatcher","event":"configuration_in_force","version":7}
{"time":"2026-01-01T00:00:04.000Z","level":"info","process":"r2","module":"dispatcher","event":"delivered","request":"abc","status":200}
{"time":"2026-01-01T00:00:02.000Z","level":"info","process":"r1","module":"dispatcher","event":"ended","request":"abc","status":503,"cause":"queue_full","limit":"rate_limit","position":1.25,"sums_age_ms":40.5,"retry_after_ms":2100.0}
{"time":"2026-01-01T00:00:02.500Z","level":"info","process":"r1","module":"dispatcher","event":"ended","request":"other","status":503,"cause":"queue_full"}
{"time":"2026-01-01T00:00:03.000Z","level":"info","process":"r3","module":"dispatcher","event":"configuration_in_force","version":9}
not a log line
{"broken":
)";

} // namespace

TEST_CASE("explain prints the lines of a request by time with the view events of its routers") {
    ctl::explanation explanation("abc");
    std::istringstream in(logs);
    explanation.read(in);
    std::ostringstream out;
    std::ostringstream err;
    CHECK(explanation.print(out, err, false) == ctl::exit_code::done);
    const std::string text = out.str();
    const std::size_t view = text.find("version=7");
    const std::size_t refused = text.find("cause=\"queue_full\"");
    const std::size_t delivered = text.find("status=200");
    REQUIRE(view != std::string::npos);
    REQUIRE(refused != std::string::npos);
    REQUIRE(delivered != std::string::npos);
    for (const char* const field :
         {"limit=\"rate_limit\"", "position=1.25", "sums_age_ms=40.5", "retry_after_ms=2100.0"}) {
        const std::size_t found = text.find(field);
        CHECK(found > refused);
        CHECK(found < delivered);
    }
    CHECK(view < refused);
    CHECK(refused < delivered);
    CHECK(text.find("version=9") == std::string::npos);
    CHECK(std::count(text.begin(), text.end(), '\n') == 3);
    CHECK(err.str().find("2 lines") == 0);
}

TEST_CASE("explain fails for an unknown request and prints JSON") {
    ctl::explanation unknown("nobody");
    std::istringstream in(logs);
    unknown.read(in);
    std::ostringstream out;
    std::ostringstream err;
    CHECK(unknown.print(out, err, false) == ctl::exit_code::failed);
    ctl::explanation known("abc");
    std::istringstream again(logs);
    known.read(again);
    std::ostringstream json;
    CHECK(known.print(json, err, true) == ctl::exit_code::done);
    CHECK(json.str().find(R"([{"time":"2026-01-01T00:00:01.000Z")") == 0);
}
