#include "upstream/call.h"

#include <exception>
#include <utility>

namespace bluebell::upstream {

using base::error;
using base::error_code;

call::call(decision::endpoint address, std::string request, bool expect_body,
           cxxtools::SelectorBase& selector, call_listener& listener)
    : address_(std::move(address)), request_(std::move(request)), selector_(selector), listener_(listener),
      parser_(expect_body) {
    cxxtools::connect(socket_.connected, *this, &call::on_connected);
    cxxtools::connect(socket_.outputReady, *this, &call::on_writable);
    cxxtools::connect(socket_.inputReady, *this, &call::on_readable);
}

void call::start() {
    try {
        socket_.setSelector(selector_);
        if (socket_.beginConnect(address_.address, address_.port)) {
            on_connected(socket_);
        }
    } catch (const std::exception& cause) {
        fail(error_code::upstream_refused_connection, cause.what());
    }
}

void call::on_connected(cxxtools::net::TcpSocket&) {
    try {
        socket_.endConnect();
    } catch (const std::exception& cause) {
        fail(error_code::upstream_refused_connection, cause.what());
        return;
    }
    request_started_ = true;
    try {
        read_more();
        write_more();
    } catch (const std::exception& cause) {
        fail(error_code::upstream_closed_connection, cause.what());
    }
}

void call::write_more() {
    socket_.beginWrite(request_.data() + written_, request_.size() - written_);
}

void call::on_writable(cxxtools::IODevice&) {
    if (finished_) {
        return;
    }
    try {
        written_ += socket_.endWrite();
        if (written_ < request_.size()) {
            write_more();
            return;
        }
        request_sent_ = true;
        std::string().swap(request_);
    } catch (const std::exception& cause) {
        fail(error_code::upstream_closed_connection, cause.what());
    }
}

void call::read_more() {
    socket_.beginRead(buffer_.data(), buffer_.size());
}

void call::on_readable(cxxtools::IODevice&) {
    if (finished_) {
        return;
    }
    try {
        const std::size_t count = socket_.endRead();
        if (count > 0) {
            parse(std::string_view(buffer_.data(), count));
        } else if (socket_.eof()) {
            fail(error_code::upstream_closed_connection, "the connection was closed within the answer");
        }
        if (!finished_) {
            read_more();
        }
    } catch (const std::exception& cause) {
        fail(error_code::upstream_closed_connection, cause.what());
    }
}

void call::parse(std::string_view bytes) {
    std::string body;
    const base::result<void> parsed = parser_.feed(bytes, body);
    if (parser_.head_complete() && !head_reported_) {
        head_reported_ = true;
        listener_.on_head(parser_.head());
    }
    if (!body.empty()) {
        listener_.on_body(body);
    }
    if (!parsed) {
        fail(parsed.error().code, parsed.error().text);
    } else if (parser_.done()) {
        finished_ = true;
        listener_.on_complete();
    }
}

void call::fail(error_code code, const std::string& text) {
    if (!finished_) {
        finished_ = true;
        listener_.on_failure(error{code, address_.address + ':' + std::to_string(address_.port), text});
    }
}

} // namespace bluebell::upstream
