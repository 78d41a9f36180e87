#pragma once

#include <memory>
#include <string>
#include <vector>

namespace bluebell::bench {

/// One measured figure of a role at one size.
struct figure {
    std::string name;
    /// Unit of the value, per node where it says so.
    std::string unit;
    double value = 0;
};

/// A part of the system whose needs grow with the size of the fleet. A new role implements this, returns the
/// same figures in the same order at each size, and is added to `roles` in capacity.cpp.
class role {
public:
    role() = default;
    role(const role&) = delete;
    role& operator=(const role&) = delete;
    role(role&&) = delete;
    role& operator=(role&&) = delete;
    virtual ~role() = default;

    [[nodiscard]] virtual std::string name() const = 0;
    /// Runs at `nodes` routers, from a fixed seed.
    virtual std::vector<figure> measure(std::size_t nodes) = 0;
};

/// Membership and the spread of revisions (section 4.7 of the design).
std::unique_ptr<role> make_membership();
/// Bytes of each kind of control message, and processor time for encoding and for the socket.
std::unique_ptr<role> make_messages();

/// Processor time that the calling thread has used.
double thread_seconds();
/// Bytes that the process has allocated and not freed.
double allocated_bytes();

} // namespace bluebell::bench
