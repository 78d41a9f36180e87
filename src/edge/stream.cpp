#include "edge/stream.h"

#include <array>
#include <cstdio>
#include <exception>
#include <sys/socket.h>

namespace bluebell::edge {

bool chunk_writer::head(int status, const std::vector<decision::field>& fields) {
    std::string text =
        "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reason_phrase(status)) + "\r\n";
    for (const decision::field& field : fields) {
        text += field.name + ": " + field.value + "\r\n";
    }
    text += "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    return send(text);
}

bool chunk_writer::write(std::string_view bytes) {
    if (bytes.empty()) {
        return !failed_;
    }
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string chunk(size.data());
    chunk += bytes;
    chunk += "\r\n";
    return send(chunk);
}

bool chunk_writer::finish() {
    return send("0\r\n\r\n");
}

bool chunk_writer::send(std::string_view bytes) {
    try {
        while (!failed_ && !bytes.empty()) {
            bytes.remove_prefix(socket_.write(bytes.data(), bytes.size()));
        }
    } catch (const std::exception&) {
        failed_ = true;
    }
    return !failed_;
}

void shut_down(cxxtools::net::TcpSocket& socket) {
    ::shutdown(socket.getFd(), SHUT_RDWR);
}

void end_sending(cxxtools::net::TcpSocket& socket) {
    ::shutdown(socket.getFd(), SHUT_WR);
}

bool peer_closed(const cxxtools::net::TcpSocket& socket) {
    char byte = 0;
    const ssize_t received = ::recv(socket.getFd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

std::string_view reason_phrase(int status) {
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 405:
        return "Method Not Allowed";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace bluebell::edge
