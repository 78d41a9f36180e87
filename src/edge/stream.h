#pragma once

#include "decision/exchange.h"

#include <cxxtools/net/tcpsocket.h>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell::edge {

/// Writes an answer in chunked transfer coding straight to the socket. The server of cxxtools buffers what a
/// responder writes until it returns, so that an answer that is produced over time has to bypass it.
/// Thread safety: used by the thread of the request.
class chunk_writer {
public:
    /// Pre-condition: `socket` outlives the writer and nothing was written to it for this request.
    explicit chunk_writer(cxxtools::net::TcpSocket& socket) : socket_(socket) {}

    /// Writes status line and fields. Each method returns false when the peer is gone or does not read within
    /// the write timeout of the socket; nothing can be written after that.
    bool head(int status, const std::vector<decision::field>& fields);
    /// Writes one chunk; an empty one writes nothing.
    bool write(std::string_view bytes);
    bool finish();

private:
    bool send(std::string_view bytes);

    cxxtools::net::TcpSocket& socket_;
    bool failed_ = false;
};

/// Closes both directions, so that the server cannot write anything after the responder returned.
void shut_down(cxxtools::net::TcpSocket& socket);
/// Sends what was written and closes the sending direction.
void end_sending(cxxtools::net::TcpSocket& socket);
/// Whether the other side closed its connection. Does not block.
bool peer_closed(const cxxtools::net::TcpSocket& socket);

/// The standard reason phrase of an HTTP status.
std::string_view reason_phrase(int status);

} // namespace bluebell::edge
