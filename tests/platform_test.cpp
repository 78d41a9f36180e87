#include "platform/decode.h"
#include "platform/dialect.h"
#include "platform/names.h"

#include <catch2/catch.hpp>

namespace {

using namespace bluebell;
using nlohmann::json;
using std::chrono::milliseconds;

http::request_head head_with(std::vector<http::field> fields) {
    http::request_head head;
    head.method = "POST";
    head.target = "/a/";
    head.fields = std::move(fields);
    head.fields.push_back({"Host", "h"});
    return head;
}

json worker() {
    return json::parse(R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":32,
        "state":"ready","warmup_left_ms":0,"sequence":4,"born":1700000000123})");
}

} // namespace

TEST_CASE("prompt parts and counts are read, and what cannot be read only ends the list") {
    const platform::dialect speech;
    const base::result<relay::request_info> facts =
        speech.read_request(head_with({{"X-Token-Usage", "1460,80"},
                                       {"X-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,zz:1"},
                                       {"X-Length-Hint", "40"},
                                       {"X-Deadline-Ms", "1500"},
                                       {"Authorization", "bearer k1"}}));
    REQUIRE(facts);
    CHECK(facts->prompt.prompt_tokens.value() == 1460);
    CHECK(facts->prompt.max_output_tokens.value() == 80);
    CHECK(facts->prompt.output_tokens_hint->value() == 40);
    REQUIRE(facts->prompt.parts.size() == 2);
    CHECK(facts->prompt.parts[0].id.value() == 0x5c1e07a2);
    CHECK(facts->prompt.parts[1].tokens.value() == 410);
    CHECK(*facts->caller_timeout == milliseconds(1500));
    CHECK(facts->api_key == "k1");
}

TEST_CASE("a request without host or with an unreadable deadline is malformed") {
    const platform::dialect speech;
    CHECK_FALSE(speech.read_request(http::request_head{}));
    CHECK_FALSE(speech.read_request(head_with({{"X-Deadline-Ms", "soon"}})));
}

TEST_CASE("the time left is never below zero and the event to resume after replaces the caller's") {
    const platform::dialect speech;
    relay::attempt_info attempt;
    attempt.upstream = base::upstream_id("u");
    attempt.time_left = milliseconds(-5);
    attempt.resume_after = "9";
    const std::vector<http::field> fields =
        speech.request_fields(head_with({{"Last-Event-Id", "3"}, {"X-Deadline-Ms", "77"}}), attempt);
    CHECK(*http::find_field(fields, "X-Deadline-Ms") == "0");
    CHECK(*http::find_field(fields, "Last-Event-Id") == "9");
}

TEST_CASE("only the router says where an upstream copies parts of a prompt from") {
    const platform::dialect speech;
    relay::attempt_info attempt;
    attempt.upstream = base::upstream_id("u");
    const http::request_head asked = head_with({{"Kv-Fetch", "10.9.9.9:1"}});
    CHECK(http::find_field(speech.request_fields(asked, attempt), "Kv-Fetch") == nullptr);
    attempt.copy_source = decision::endpoint{"10.0.0.2", 81};
    CHECK(*http::find_field(speech.request_fields(asked, attempt), "Kv-Fetch") == "10.0.0.2:81");
}

TEST_CASE("only an upstream's own statement counts as not run") {
    const platform::dialect speech;
    http::response_head head;
    head.status = 503;
    CHECK(speech.read_answer(head).unconfirmed_not_run);
    CHECK_FALSE(speech.read_answer(head).not_run);
    head.fields.push_back({"X-Not-Executed", "1"});
    CHECK(speech.read_answer(head).not_run);
    CHECK_FALSE(speech.read_answer(head).unconfirmed_not_run);
    head.status = 421;
    CHECK(speech.read_answer(head).misdirected);
}

TEST_CASE("load and idle time of an upstream are read, and nonsense is not") {
    const platform::dialect speech;
    http::response_head head;
    head.fields = {{"X-Instance-Load", "3,1,8"}, {"Keep-Alive", "timeout=7, max=100"}};
    const relay::answer_info facts = speech.read_answer(head);
    REQUIRE(facts.load);
    CHECK(facts.load->running == 3);
    CHECK(facts.load->waiting == 1);
    CHECK(*facts.idle_timeout == std::chrono::seconds(7));
    head.fields = {{"X-Instance-Load", "3,x,8"}, {"Keep-Alive", "timeout=soon"}};
    CHECK_FALSE(speech.read_answer(head).load);
    CHECK_FALSE(speech.read_answer(head).idle_timeout);
}

TEST_CASE("an entry with missing, mistyped or unknown values names no upstream") {
    REQUIRE(platform::decode_upstream("u", worker()));
    CHECK(platform::decode_upstream("u", worker())->started_ms == 1700000000123);
    for (const char* const field : {"service", "address", "slots", "state"}) {
        json without = worker();
        without.erase(field);
        CHECK_FALSE(platform::decode_upstream("u", without));
        json mistyped = worker();
        mistyped[field] = json::array({1});
        CHECK_FALSE(platform::decode_upstream("u", mistyped));
    }
    json unknown = worker();
    unknown["state"] = "resting";
    CHECK_FALSE(platform::decode_upstream("u", unknown));
    CHECK_FALSE(platform::decode_upstream("u", json("text")));
    CHECK_FALSE(platform::decode_upstream("u", json()));
}

TEST_CASE("a configuration is read with its routes, pools, keys and limits") {
    const json spec = json::parse(R"({"version":7,"routes":[
        {"name":"r1","host":"H.example","path_prefix":"/a/","route_type":"streaming","timeout_ms":15000,
         "target_latency_ms":800,"priority":1,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
         "max_attempts":2,"anonymous":false,"stream_resume":true},
        {"name":"r2","host":"h.example","path_prefix":"/b/","route_type":"unsafe","timeout_ms":1500.5,"service":"s2",
         "max_attempts":1,"anonymous":true}],
        "services":[{"name":"s1","max_connections":230,"engine":{"slots":32,"kv_capacity":588101}},
                    {"name":"s2","max_connections":100}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,
                  "tokens_per_s":480000},
        "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}]})");
    const base::result<dispatch::catalogue_ptr> read = platform::decode_catalogue(spec);
    REQUIRE(read);
    const dispatch::catalogue& made = **read;
    CHECK(made.version.value() == 7);
    const dispatch::route* const first = made.match("h.example", "/a/x");
    REQUIRE(first != nullptr);
    CHECK(first->resumable);
    CHECK(first->repeatable());
    CHECK(first->pools.size() == 2);
    CHECK(made.match("h.example", "/b/")->timeout == std::chrono::microseconds(1500500));
    CHECK(made.find(base::pool_id("s1"))->engine->memory.value() == 588101);
    CHECK_FALSE(made.find(base::pool_id("s2"))->engine);
    CHECK(made.keys.at("k2") == base::client_account_id("t1"));
    CHECK(made.limits.idle_timeout == std::chrono::seconds(15));
}

TEST_CASE("engines copy from each other only where the platform moves memory and says how fast") {
    const auto copied = [](const std::string& engine) {
        const json spec = json::parse(R"({"version":1,"routes":[],"services":[{"name":"s","engine":)" +
                                      engine + R"(}],"tenants":[]})");
        const base::result<dispatch::catalogue_ptr> read = platform::decode_catalogue(spec);
        REQUIRE(read);
        return (*read)->find(base::pool_id("s"))->engine->copied_tokens_per_ms;
    };
    CHECK(copied(R"({"kv_token_bytes":125000,"link_mbps":100000,"moves":true})") == Approx(100));
    CHECK(copied(R"({"kv_token_bytes":125000,"link_mbps":100000,"moves":false})") == 0);
    CHECK(copied(R"({"link_mbps":100000,"moves":true})") == 0);
}

TEST_CASE("a configuration that cannot be read is an error and not an empty one") {
    CHECK_FALSE(platform::decode_catalogue(json::parse(R"({"version":1})")));
    CHECK_FALSE(platform::decode_catalogue(json::parse(R"({"version":"x","routes":[]})")));
    CHECK_FALSE(platform::decode_catalogue(json::parse(
        R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","route_type":"odd"}]})")));
}

TEST_CASE("a router's entry reads back as it was written") {
    decision::vm_entry self;
    self.vm = base::vm_id("edge-1");
    self.data_centre = base::data_centre_id("z");
    self.control = {"10.0.0.1", 7400};
    self.admin = {"10.0.0.1", 8780};
    const std::optional<decision::vm_entry> back =
        platform::decode_router("edge-1", platform::encode_router(self));
    REQUIRE(back);
    CHECK(back->control == self.control);
    CHECK(back->admin == self.admin);
    CHECK_FALSE(platform::decode_router("x", json::object()));
}
