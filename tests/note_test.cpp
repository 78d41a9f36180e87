#include "store/note.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace bluebell;
using namespace bluebell::store;
using base::error_code;
using decision::change_kind;

namespace {

tl::expected<decision::release_note, std::vector<base::error>> parse(const std::string& text) {
    std::istringstream in(text);
    return parse_note(in, "n.ini");
}

/// Parses `text` and returns the errors, each as `code location`.
std::vector<std::string> faults_of(const std::string& text) {
    std::vector<std::string> descriptions;
    const tl::expected<decision::release_note, std::vector<base::error>> note = parse(text);
    if (!note) {
        for (const base::error& fault : note.error()) {
            descriptions.push_back(std::string(to_string(fault.code)) + ' ' + fault.location);
        }
    }
    return descriptions;
}

const std::string valid_header = "[note]\nformat = 1\noperator = ingrid\ntitle = A title\n";

} // namespace

TEST_CASE("each key of a note is parsed into its own member") {
    const tl::expected<decision::release_note, std::vector<base::error>> note =
        parse("[note]\nformat = 1\noperator = ingrid\ntitle = Add the second worker\n"
              "# Optional\nbase_revision = 17\n\n"
              "[add upstream text-2]\npool = certificate-text\ndata_centre = oslo-2\n"
              "address = 10.0.2.12:9000\nslots = 8\nchecks_fence = no\ncan_resume = yes\n"
              "[change client_account school-asker]\nshare = 2.5\n"
              "[add pool parcels]\nkind = service\ndefault_cost = 40\n"
              "[withdraw pool old]\n");
    REQUIRE(note);
    CHECK(note->author == base::operator_id("ingrid"));
    CHECK(note->title == "Add the second worker");
    CHECK(note->base_revision == base::revision(17));
    REQUIRE(note->upstreams.size() == 1);
    const decision::upstream_change& upstream = note->upstreams.front();
    CHECK(upstream.kind == change_kind::add);
    CHECK(upstream.id == base::upstream_id("text-2"));
    CHECK(upstream.pool == base::pool_id("certificate-text"));
    CHECK(upstream.data_centre == base::data_centre_id("oslo-2"));
    CHECK(upstream.address == decision::endpoint{"10.0.2.12", 9000});
    CHECK(upstream.slots == base::slot_count(8));
    CHECK(upstream.checks_fence == false);
    CHECK(upstream.can_resume == true);
    CHECK(upstream.location == "n.ini:8");
    REQUIRE(note->accounts.size() == 1);
    CHECK(note->accounts.front().kind == change_kind::change);
    CHECK(note->accounts.front().share == base::weight(2.5));
    REQUIRE(note->pools.size() == 2);
    CHECK(note->pools.front().type == decision::pool_kind::service);
    CHECK(note->pools.front().default_cost == base::cost(40));
    CHECK(note->pools.back().kind == change_kind::withdraw);
    CHECK_FALSE(note->pools.back().type);
}

TEST_CASE("all errors of a note are reported together, each with its line") {
    CHECK(faults_of(valid_header + "surplus = 1\n"                 // 5
                                   "[add upstream u-1]\n"          // 6
                                   "address = host:9000\n"         // 7
                                   "slots = 8x\n"                  // 8
                                   "slots = 8\n"                   // 9
                                   "checks_fence = maybe\n"        // 10
                                   "[add client_account a]\n"      // 11
                                   "share = \n"                    // 12
                                   "[withdraw client_account b]\n" // 13
                                   "share = 1\n"                   // 14
                                   "[add pool p]\n"                // 15
                                   "kind = engine\n"               // 16
                                   "[add client_account a]\n"      // 17
                                   "[rename pool p]\n"             // 18
                                   "[add upstream]\n"              // 19
                                   "[add upstream two words]\n"    // 20
                                   "[add queue q]\n") ==           // 21
          std::vector<std::string>{
              "settings_duplicate n.ini:9", "settings_duplicate n.ini:17", "settings_unknown_key n.ini:5",
              "note_invalid_value n.ini:7", "note_invalid_value n.ini:8", "note_invalid_value n.ini:10",
              "note_invalid_value n.ini:12", "settings_unknown_key n.ini:14", "note_invalid_value n.ini:16",
              "settings_unknown_section n.ini:18", "settings_unknown_section n.ini:19",
              "settings_unknown_section n.ini:20", "settings_unknown_section n.ini:21"});
}

TEST_CASE("a note without a valid header is refused, and one of another format is not misread") {
    CHECK(faults_of("") == std::vector<std::string>{"note_malformed n.ini:1"});
    CHECK(faults_of("[add pool p]\n" + valid_header) == std::vector<std::string>{"note_malformed n.ini:1"});
    CHECK(faults_of("[note]\nformat = 2\noperator = o\ntitle = t\n") ==
          std::vector<std::string>{"note_unsupported_version n.ini:1"});
    CHECK(faults_of("[note]\nbase_revision = -1\n") ==
          std::vector<std::string>{"note_invalid_value n.ini:2", "settings_missing n.ini:1",
                                   "settings_missing n.ini:1", "settings_missing n.ini:1"});
    CHECK(faults_of(valid_header + "[add pool p]\nno equals sign\n") ==
          std::vector<std::string>{"note_malformed n.ini:6"});
}

TEST_CASE("an address must be IP:PORT, so that no host name is ever resolved") {
    CHECK(decision::parse_endpoint("10.0.2.12:9000"));
    for (const char* bad :
         {"", "10.0.2.12", "10.0.2:9000", "10.0.2.256:9000", "10.0.2.12:0", "10.0.2.12:65536",
          "10.0.2.12:9000 ", "010.0.2.12:9000", "10.0.2.12.1:9000", "host:9000", "::1:9000"}) {
        CAPTURE(bad);
        CHECK_FALSE(decision::parse_endpoint(bad));
    }
}
