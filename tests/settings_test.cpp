#include "base/settings.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace bluebell::base;
using namespace std::chrono_literals;

namespace {

const std::vector<setting_spec>& schema() {
    static const std::vector<setting_spec> specs{
        {"vm", "name", setting_type::text, std::nullopt, "", "", {}, "name of this VM"},
        {"listen", "control", setting_type::address, "127.0.0.1:7000", "", "", {}, "control messages"},
        {"drain", "limit", setting_type::time_span, "60s", "1s", "10min", {}, "longest drain"},
        {"limits", "body", setting_type::bytes, "1MiB", "1KiB", "16MiB", {}, "largest body"},
        {"limits", "requests", setting_type::integer, "200", "1", "1000", {}, "requests in progress"},
        {"log", "level", setting_type::choice, "info", "", "", {"debug", "info"}, "lowest level"},
    };
    return specs;
}

tl::expected<settings, std::vector<error>> check(const std::string& text) {
    std::istringstream in(text);
    result<ini_file> file = read_ini(in, "test.ini");
    REQUIRE(file);
    return settings::check(*file, schema());
}

error_code code_of(const std::string& text) {
    const tl::expected<settings, std::vector<error>> checked = check(text);
    REQUIRE_FALSE(checked);
    REQUIRE(checked.error().size() == 1);
    return checked.error().front().code;
}

} // namespace

TEST_CASE("settings are read with their units, and absent keys take their defaults") {
    const tl::expected<settings, std::vector<error>> checked =
        check("[vm]\nname = vm-1\n[drain]\nlimit = 2min\n[limits]\nbody = 64KiB\n");
    REQUIRE(checked);
    CHECK(checked->text("vm", "name") == "vm-1");
    CHECK(checked->time("drain", "limit") == 120s);
    CHECK(checked->bytes("limits", "body") == byte_count(65536));
    CHECK(checked->integer("limits", "requests") == 200);
    CHECK(checked->endpoint("listen", "control").port == 7000);
    CHECK(checked->place("drain", "limit") == "test.ini:4");
}

TEST_CASE("each kind of invalid setting is rejected with its own error code") {
    const std::string vm = "[vm]\nname = a\n";
    CHECK(code_of("") == error_code::settings_missing);
    CHECK(code_of(vm + "[nowhere]\nx = 1\n") == error_code::settings_unknown_section);
    CHECK(code_of(vm + "[log]\nlvl = info\n") == error_code::settings_unknown_key);
    CHECK(code_of(vm + "[log]\nlevel = loud\n") == error_code::settings_invalid_value);
    CHECK(code_of(vm + "[drain]\nlimit = 5\n") == error_code::settings_invalid_value);
    CHECK(code_of(vm + "[drain]\nlimit = 5KiB\n") == error_code::settings_invalid_value);
    CHECK(code_of(vm + "[drain]\nlimit = 11min\n") == error_code::settings_invalid_value);
    CHECK(code_of(vm + "[limits]\nrequests = 0\n") == error_code::settings_invalid_value);
    CHECK(code_of(vm + "[limits]\nrequests = -3\n") == error_code::settings_invalid_value);
    CHECK(code_of(vm + "[listen]\ncontrol = host:1\n") == error_code::settings_invalid_value);
    CHECK(code_of(vm + "[listen]\ncontrol = 127.0.0.1:70000\n") == error_code::settings_invalid_value);
    CHECK(code_of(vm + "[log]\nlevel = info\nlevel = info\n") == error_code::settings_duplicate);
    CHECK(code_of(vm + "[log]\nlevel = info\n[log]\n") == error_code::settings_duplicate);
}

TEST_CASE("all faults of a settings file are reported at once, each with its line") {
    const tl::expected<settings, std::vector<error>> checked =
        check("[log]\nlevel = loud\nlvl = x\n[drain]\nlimit = soon\n");
    REQUIRE_FALSE(checked);
    REQUIRE(checked.error().size() == 4);
    CHECK(checked.error()[0].location == "test.ini:2");
    CHECK(checked.error()[1].location == "test.ini:3");
    CHECK(checked.error()[2].location == "test.ini:5");
    CHECK(checked.error()[3].code == error_code::settings_missing);
}

TEST_CASE("a line without '=' is reported with its own line number") {
    std::istringstream in("[vm]\nname = a\nbroken\nother = 1\n");
    const result<ini_file> file = read_ini(in, "test.ini");
    REQUIRE_FALSE(file);
    CHECK(file.error().location == "test.ini:3");
}
