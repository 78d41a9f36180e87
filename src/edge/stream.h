#pragma once

#include "decision/exchange.h"

#include <cxxtools/net/tcpsocket.h>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::edge {

/// Writes an answer in chunked transfer coding directly to the socket. The server of cxxtools buffers the
/// output of a responder until the responder returns, so a streamed answer has to bypass it. Thread safety:
/// used by the thread of the request.
class chunk_writer {
public:
    /// Pre-condition: `socket` outlives the writer and nothing was written to it for this request.
    explicit chunk_writer(cxxtools::net::TcpSocket& socket) : socket_(socket) {}

    /// Writes the status line and the fields. Like `write` and `finish`, returns false if the peer is gone or
    /// does not read within the write timeout of the socket; nothing can be written after that.
    bool head(int status, const std::vector<decision::field>& fields);
    /// Writes one chunk; an empty one writes nothing.
    bool write(std::string_view bytes);
    /// Writes the final chunk.
    bool finish();

private:
    bool send(std::string_view bytes);

    cxxtools::net::TcpSocket& socket_;
    bool failed_ = false;
};

/// Shuts down both directions, so that the server cannot write anything after the responder has returned.
void shut_down(cxxtools::net::TcpSocket& socket);
/// Shuts down the sending direction after the bytes already written.
void end_sending(cxxtools::net::TcpSocket& socket);
/// Returns whether the peer has closed the connection. Does not block.
bool peer_closed(const cxxtools::net::TcpSocket& socket);

/// Returns the standard reason phrase of an HTTP status, or "Status" for an unknown one.
std::string_view reason_phrase(int status);

} // namespace bluebell::edge
