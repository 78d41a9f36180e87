#include "root/node.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace {

using namespace bluebell;

const char* const minimal =
    "[vm]\nname = r1\ndata_centre = x\n[listen]\ncallers = 127.0.0.1:1\nops = 127.0.0.1:2\n"
    "control = 127.0.0.1:3\n[store]\naddress = 127.0.0.1:4\n";

} // namespace

TEST_CASE("node settings have defaults and accept fractional bounds") {
    std::istringstream in(std::string(minimal) +
                          "[bounds]\nrevocation = 4.5s\nretry_ratio = 0.2\nretry_slack = 54\n");
    const tl::expected<root::node_options, std::vector<base::error>> read =
        root::read_node_options(in, "test");
    REQUIRE(read);
    CHECK(read->revocation == std::chrono::milliseconds(4500));
    CHECK(read->retry_ratio == Approx(0.2));
    CHECK(read->ready_path == "/ready");
}

TEST_CASE("all errors in node settings are reported with their line") {
    std::istringstream in(std::string(minimal) +
                          "[bounds]\nrevocation = soon\nretry_ratio = -1\n[odd]\nx = 1\n");
    const tl::expected<root::node_options, std::vector<base::error>> read =
        root::read_node_options(in, "test");
    REQUIRE_FALSE(read);
    CHECK(read.error().size() == 3);
    CHECK(read.error().front().location.find("test:") == 0);
}

TEST_CASE("docs/settings.md contains the table of the node settings") {
    std::ifstream page("docs/settings.md");
    std::ostringstream text;
    text << page.rdbuf();
    CHECK(text.str().find(base::describe_settings(root::node_schema())) != std::string::npos);
}
