#pragma once

#include "decision/request.h"

#include <string>
#include <vector>

namespace bluebell::decision {

struct field {
    std::string name;
    std::string value;
};

/// Content of a request in terms that every front end shares. Decisions do not look into it.
struct content {
    std::string method;
    /// Path at the upstream, with query.
    std::string path;
    std::vector<field> fields;
    std::string body;
    /// The caller wants the answer as it is produced.
    bool streamed = false;
};

struct answer_head {
    int status = 200;
    std::vector<field> fields;
};

/// One request of a caller and the way its answer goes back. The front end implements it; the upstream
/// transport delivers the answer; the decider ends it.
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

    /// Does not change after construction.
    [[nodiscard]] virtual const content& request_content() const = 0;
    /// Called before each attempt puts anything on a connection. Returns false if the front end has already
    /// answered the caller; the attempt must then not be sent.
    [[nodiscard]] virtual bool begin_attempt() { return true; }
    /// Passes status and fields on. Called once per request, before the first `deliver`.
    virtual void begin(const answer_head& head) = 0;
    /// Passes a part of the answer on. Returns false if the caller is gone or does not read fast enough; the
    /// transport then ends the attempt.
    [[nodiscard]] virtual bool deliver(std::string bytes) = 0;
    /// Ends the answer. Called exactly once per request; nothing is delivered after it.
    virtual void finish(const verdict& last) = 0;
};

} // namespace bluebell::decision
