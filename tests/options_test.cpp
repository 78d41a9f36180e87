#include "root/options.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace bluebell;

namespace {

const std::string minimal = "[vm]\nname = a\ndata_centre = d\n[fleet]\nname = f\n"
                            "[listen]\ncallers = 127.0.0.1:1\nadmin = 127.0.0.1:2\ncontrol = 127.0.0.1:3\n"
                            "[store]\naddress = 127.0.0.1:4\n";

tl::expected<root::options, std::vector<base::error>> read(const std::string& text) {
    std::istringstream in(text);
    return root::read_options(in, "test.ini");
}

std::string contents(const std::string& path) {
    std::ifstream in(path);
    REQUIRE(in);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("docs/settings.md contains the table of the router settings") {
    CHECK(contents("docs/settings.md").find(root::describe_options()) != std::string::npos);
}

TEST_CASE("settings files of the example deployments are valid") {
    for (const std::string deployment : {"oslo", "mekong-south"}) {
        std::ifstream in("examples/" + deployment + ".ini");
        REQUIRE(in);
        const tl::expected<root::options, std::vector<base::error>> checked =
            root::read_options(in, deployment);
        REQUIRE(checked);
        CHECK(checked->fleet == deployment);
    }
}

TEST_CASE("contradictory settings are refused with their line") {
    REQUIRE(read(minimal));
    for (const std::string addition :
         {"[upstream]\nfirst_byte_timeout = 5min\n", "[limits]\nbody = 2MiB\nqueue_bytes = 1MiB\n"}) {
        const tl::expected<root::options, std::vector<base::error>> checked = read(minimal + addition);
        REQUIRE_FALSE(checked);
        CHECK(checked.error().front().code == base::error_code::settings_contradiction);
        CHECK(checked.error().front().location == "test.ini:13");
    }
}

TEST_CASE("a settings file without sections is refused") {
    const tl::expected<root::options, std::vector<base::error>> checked = read("no section or value");
    REQUIRE_FALSE(checked);
}
