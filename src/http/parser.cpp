#include "http/parser.h"

#include "http/status.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace bluebell::http {
namespace {

/// Size from which space for a body of an announced length is reserved at its head, so that it is not copied
/// as it grows. Such allocations are pages of their own, which take no memory until they are written.
constexpr std::size_t min_reserved_body = std::size_t{256} << 10U;

} // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x)) ==
                      std::tolower(static_cast<unsigned char>(y));
           });
}

const std::string* find_field(const std::vector<field>& fields, std::string_view name) {
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const field& entry) {
        return equal_ignoring_case(entry.name, name);
    });
    return found == fields.end() ? nullptr : &found->value;
}

const std::string* request_head::find(std::string_view name) const {
    return find_field(fields, name);
}

const std::string* response_head::find(std::string_view name) const {
    return find_field(fields, name);
}

bool hop_by_hop(std::string_view name) {
    static constexpr std::array<std::string_view, 11> names{
        "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
        "te",         "trailer",    "upgrade",          "transfer-encoding",  "content-length",
        "expect"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view entry) { return equal_ignoring_case(entry, name); });
}

bool is_token(std::string_view name) {
    static constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
               punctuation.find(c) != std::string_view::npos;
    });
}

std::string_view reason_phrase(int status) {
    switch (status) {
#define BLUEBELL_REASON(number, name, text)                                                                  \
    case number:                                                                                             \
        return #text;
        HTTP_STATUS_MAP(BLUEBELL_REASON)
#undef BLUEBELL_REASON
    default:
        return "Unknown";
    }
}

/// C callbacks of the library; forward to the parser object.
struct parser_callbacks {
    static message_parser& self(http_parser* parser) { return *static_cast<message_parser*>(parser->data); }

    static int begin(http_parser* parser) {
        self(parser).started_ = true;
        return 0;
    }
    static int target(http_parser* parser, const char* bytes, std::size_t size) {
        if (!self(parser).add_head_bytes(size)) {
            return 1;
        }
        self(parser).on_target({bytes, size});
        return 0;
    }
    static int name(http_parser* parser, const char* bytes, std::size_t size) {
        message_parser& message = self(parser);
        if (message.head_complete_) {
            return 0; // trailers are dropped
        }
        if (!message.add_head_bytes(size)) {
            return 1;
        }
        if (message.value_started_) {
            message.fields_.emplace_back();
            message.value_started_ = false;
        }
        message.fields_.back().name.append(bytes, size);
        return 0;
    }
    static int value(http_parser* parser, const char* bytes, std::size_t size) {
        message_parser& message = self(parser);
        if (message.head_complete_ || message.fields_.empty()) {
            return 0;
        }
        if (!message.add_head_bytes(size)) {
            return 1;
        }
        message.value_started_ = true;
        message.fields_.back().value.append(bytes, size);
        return 0;
    }
    static int head(http_parser* parser) {
        self(parser).head_complete_ = true;
        return self(parser).on_head();
    }
    static int body(http_parser* parser, const char* bytes, std::size_t size) {
        return self(parser).on_body({bytes, size});
    }
    static int chunk(http_parser* parser) { return self(parser).on_chunk(parser->content_length); }
    static int complete(http_parser* parser) {
        self(parser).complete_ = true;
        http_parser_pause(parser, 1);
        return 0;
    }
    static const http_parser_settings& callback_settings() {
        static const http_parser_settings settings = [] {
            http_parser_settings callbacks{};
            http_parser_settings_init(&callbacks);
            callbacks.on_message_begin = begin;
            callbacks.on_url = target;
            callbacks.on_header_field = name;
            callbacks.on_header_value = value;
            callbacks.on_headers_complete = head;
            callbacks.on_body = body;
            callbacks.on_chunk_header = chunk;
            callbacks.on_message_complete = complete;
            return callbacks;
        }();
        return settings;
    }
};

message_parser::message_parser(http_parser_type type, message_limits limits) : limits_(limits), type_(type) {
    reset();
}

void message_parser::reset() {
    http_parser_init(&parser_, type_);
    parser_.data = this;
    fields_.clear();
    started_ = false;
    head_complete_ = false;
    complete_ = false;
    head_too_large_ = false;
    head_bytes_ = 0;
    value_started_ = true;
}

std::size_t message_parser::execute(std::string_view bytes) {
    return http_parser_execute(&parser_, &parser_callbacks::callback_settings(), bytes.data(), bytes.size());
}

void message_parser::on_target(std::string_view /*bytes*/) {}

int message_parser::on_chunk(std::uint64_t /*bytes*/) {
    return 0;
}

bool message_parser::add_head_bytes(std::size_t bytes) {
    head_bytes_ += bytes;
    head_too_large_ = head_bytes_ > limits_.head_bytes;
    return !head_too_large_;
}

base::result<std::size_t> request_parser::feed(std::string_view bytes) {
    const std::size_t consumed = execute(bytes);
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (head_too_large_ || error == HPE_HEADER_OVERFLOW) {
        return base::failure(base::error_code::header_too_large, "", "the head exceeds the limit");
    }
    if (body_too_large_) {
        return base::failure(base::error_code::body_too_large, "", "the body exceeds the limit");
    }
    if (error != HPE_OK && error != HPE_PAUSED) {
        return base::failure(base::error_code::malformed_request, "", http_errno_description(error));
    }
    if (parser_.upgrade != 0) {
        return base::failure(base::error_code::malformed_request, "", "upgrades are not supported");
    }
    return consumed;
}

void request_parser::prepare_next(message_limits limits) {
    limits_ = limits;
    reset();
    target_.clear();
    body_.clear();
    chunk_count_ = 0;
    body_too_large_ = false;
}

void request_parser::discard() {
    // An assignment of `{}` would keep the capacity.
    std::vector<field>().swap(fields_);
    std::string().swap(target_);
    std::string().swap(body_);
    reset();
}

request_head request_parser::take_head() {
    request_head head;
    head.method = http_method_str(static_cast<http_method>(parser_.method));
    head.target = std::move(target_);
    head.fields = std::move(fields_);
    head.keep_alive = http_should_keep_alive(&parser_) != 0;
    return head;
}

bool request_parser::expects_continue() const {
    const std::string* const expectation =
        head_complete_ && !complete_ ? find_field(fields_, "Expect") : nullptr;
    return expectation != nullptr && equal_ignoring_case(*expectation, "100-continue");
}

int request_parser::on_head() {
    // The library accepts spaces and control characters in names, which an upstream may parse differently.
    if (!std::all_of(fields_.begin(), fields_.end(),
                     [](const field& entry) { return is_token(entry.name); })) {
        return -1;
    }
    const bool has_length = (parser_.flags & F_CONTENTLENGTH) != 0;
    body_too_large_ = has_length && parser_.content_length > limits_.body_bytes;
    if (body_too_large_) {
        return -1;
    }
    if (has_length && parser_.content_length >= min_reserved_body) {
        body_.reserve(parser_.content_length);
    }
    return 0;
}

int request_parser::on_chunk(std::uint64_t bytes) {
    ++chunk_count_;
    body_too_large_ = bytes > limits_.body_bytes - body_.size();
    return body_too_large_ ? 1 : 0;
}

int request_parser::on_body(std::string_view bytes) {
    body_too_large_ = body_.size() + bytes.size() > limits_.body_bytes;
    if (body_too_large_) {
        return 1;
    }
    body_.append(bytes);
    return 0;
}

void response_parser::prepare_next(bool expect_body) {
    reset();
    status_line_.clear();
    head_ = {};
    expect_body_ = expect_body;
}

base::result<std::size_t> response_parser::feed(std::string_view bytes, std::string& body) {
    record_status_line(bytes);
    body_ = &body;
    const std::size_t consumed = execute(bytes);
    body_ = nullptr;
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (error != HPE_OK && error != HPE_PAUSED) {
        return base::failure(base::error_code::upstream_malformed_answer, "", http_errno_description(error));
    }
    return consumed;
}

void response_parser::record_status_line(std::string_view bytes) {
    if (status_line_.empty()) {
        // The library accepts empty lines before an answer.
        bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
    }
    status_line_.append(bytes.substr(0, status_line_prefix_bytes - status_line_.size()));
}

void response_parser::end_of_input() {
    if (head_complete_ && !complete_) {
        execute({});
    }
}

int response_parser::on_head() {
    const std::optional<int> status = parse_status(status_line_);
    if (!status) {
        return -1;
    }
    head_.status = *status;
    head_.fields = std::move(fields_);
    head_.keep_alive = http_should_keep_alive(&parser_) != 0;
    if ((parser_.flags & F_CONTENTLENGTH) != 0) {
        head_.length = parser_.content_length;
    }
    return expect_body_ ? 0 : 1;
}

int response_parser::on_body(std::string_view bytes) {
    body_->append(bytes);
    return 0;
}

} // namespace bluebell::http
