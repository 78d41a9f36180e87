#pragma once

#include "decision/request.h"

#include <string>
#include <vector>

namespace bluebell::decision {

/// A header field.
struct field {
    std::string name;
    std::string value;
};

/// Content of a request, independent of the front end. Decisions do not depend on it.
struct content {
    std::string method;
    /// Path on the upstream, with the query.
    std::string path;
    std::vector<field> fields;
    std::string body;
    /// Set if the caller wants the answer as it is produced.
    bool streamed = false;
};

/// Status and header fields of an answer.
struct answer_head {
    int status = 200;
    std::vector<field> fields;
};

/// One request of a caller and the path of its answer back to the caller. The front end implements it, the
/// upstream transport delivers the answer, and the decider ends it.
/// Thread safety: `request_content` may be called by any thread; the transport's thread calls
/// `begin_attempt`, `begin` and `deliver`; the decider's thread calls `finish`. Implementations hand over to
/// the caller's thread through a bounded ring and do not block.
class exchange {
public:
    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;
    virtual ~exchange() = default;

    /// Returns the content of the request, which does not change after construction.
    [[nodiscard]] virtual const content& request_content() const = 0;
    /// Must be called before an attempt writes to a connection. Returns false if the front end has already
    /// answered the caller; the attempt must then not be sent.
    [[nodiscard]] virtual bool begin_attempt() { return true; }
    /// Passes status and header fields to the caller. Called once per request, before the first `deliver`.
    virtual void begin(const answer_head& head) = 0;
    /// Passes a part of the answer to the caller. Returns false if the caller is gone or does not read fast
    /// enough; the transport then ends the attempt.
    [[nodiscard]] virtual bool deliver(std::string bytes) = 0;
    /// Ends the answer. Called exactly once per request; nothing is delivered afterwards.
    virtual void finish(const verdict& final_verdict) = 0;
};

} // namespace bluebell::decision
