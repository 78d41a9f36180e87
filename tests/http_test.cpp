#include "http/parser.h"

#include <catch2/catch.hpp>

namespace {

using namespace bluebell;
using http::message_limits;
using http::request_parser;
using http::response_parser;

constexpr message_limits small_limits{256, 64};

/// Returns the error of parsing `bytes` as a request; `internal_failure` if there is none.
base::error_code feed_error(std::string_view bytes) {
    request_parser parser(small_limits);
    const base::result<std::size_t> consumed = parser.feed(bytes);
    return consumed ? base::error_code::internal_failure : consumed.error().code;
}

} // namespace

TEST_CASE("a request is parsed from any two parts and ends where the next request begins") {
    const std::string first = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    const std::string second = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
    for (std::size_t split = 1; split < first.size(); ++split) {
        request_parser parser(small_limits);
        REQUIRE(parser.feed(std::string_view(first).substr(0, split)) == split);
        REQUIRE_FALSE(parser.complete());
        REQUIRE(parser.feed(first.substr(split) + second) == first.size() - split);
        REQUIRE(parser.complete());
        REQUIRE(parser.take_body() == "abcde");
        const http::request_head head = parser.take_head();
        REQUIRE(head.target == "/a/b?c=d");
        REQUIRE(head.keep_alive);
        parser.prepare_next(small_limits);
        REQUIRE(parser.feed(second) == second.size());
        REQUIRE(parser.complete());
    }
}

// Guards against request smuggling: an upstream that takes another length would find a second request.
TEST_CASE("a request with an ambiguous body length is refused") {
    CHECK(feed_error("POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde") ==
          base::error_code::malformed_request);
    CHECK(feed_error("POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
          base::error_code::malformed_request);
    CHECK(feed_error("POST / HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n") ==
          base::error_code::malformed_request);
    CHECK(feed_error("POST / HTTP/1.1\r\nContent-Length : 4\r\n\r\nabcd") ==
          base::error_code::malformed_request);
    CHECK(feed_error("GET / HTTP/1.1\r\nX: a\0b\r\n\r\n") == base::error_code::internal_failure);
}

TEST_CASE("oversized heads and oversized bodies are distinct errors") {
    CHECK(feed_error("GET / HTTP/1.1\r\nX: " + std::string(300, 'a') + "\r\n\r\n") ==
          base::error_code::header_too_large);
    CHECK(feed_error("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n") == base::error_code::body_too_large);
    CHECK(feed_error("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + std::string(65, 'a')) ==
          base::error_code::body_too_large);
}

TEST_CASE("an answer with a length ends after it, and further bytes are not consumed") {
    response_parser parser;
    parser.prepare_next(true);
    std::string body;
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    CHECK(parser.feed(answer + "HTTP/1.1 200", body) == answer.size());
    CHECK(parser.complete());
    CHECK(body == "ok");
    CHECK(parser.head().length == 2);
}

TEST_CASE("an answer without a length is complete only at the end of the connection") {
    response_parser parser;
    parser.prepare_next(true);
    std::string body;
    REQUIRE(parser.feed("HTTP/1.1 200 OK\r\n\r\npart", body));
    CHECK_FALSE(parser.complete());
    parser.end_of_input();
    CHECK(parser.complete());
    CHECK(body == "part");
    CHECK_FALSE(parser.head().keep_alive);
}

TEST_CASE("a truncated chunked answer stays incomplete at the end of the connection") {
    response_parser parser;
    parser.prepare_next(true);
    std::string body;
    REQUIRE(parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", body));
    parser.end_of_input();
    CHECK_FALSE(parser.complete());
}

// Guards against a spoiled status line that callers get as an answer.
TEST_CASE("an answer without a status of HTTP is an error, split at any byte") {
    const auto accepts = [](const std::string& line, std::size_t split) {
        const std::string answer = line + "\r\nContent-Length: 0\r\n\r\n";
        response_parser parser;
        parser.prepare_next(true);
        std::string body;
        const std::string_view text(answer);
        return parser.feed(text.substr(0, split), body) && parser.feed(text.substr(split), body) &&
               parser.complete();
    };
    const std::size_t split = GENERATE(range(0, 24));
    for (const char* const line :
         {"HTTP/1.1 000 Unknown", "HTTP/1.1 000", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 2 0 OK",
          "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
          "HTTP/1.1 65736 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200OK"}) {
        CAPTURE(line, split);
        CHECK_FALSE(accepts(line, split));
    }
    for (const char* const line : {"HTTP/1.1 200 OK", "HTTP/1.0 404 Not Found", "HTTP/1.1 599 x",
                                   "HTTP/1.1 200", "\r\nHTTP/1.1 200 "}) {
        CAPTURE(line, split);
        CHECK(accepts(line, split));
    }
}

TEST_CASE("bytes that are not an answer are an error") {
    response_parser parser;
    parser.prepare_next(true);
    std::string body;
    const base::result<std::size_t> consumed = parser.feed("\x01\x02 garbage\r\n\r\n", body);
    REQUIRE_FALSE(consumed);
    CHECK(consumed.error().code == base::error_code::upstream_malformed_answer);
}
