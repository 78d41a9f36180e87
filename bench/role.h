#pragma once

#include <memory>
#include <string>
#include <vector>

namespace bluebell::bench {

/// A measured value of a role at one size.
struct figure {
    std::string name;
    /// Unit of the value; contains `per node` for values of a single router.
    std::string unit;
    double value = 0;
};

/// A part of the system whose resource needs grow with the fleet. A new role implements this interface,
/// returns the same figures in the same order at each size, and is added to `roles` in capacity.cpp.
class role {
public:
    role() = default;
    role(const role&) = delete;
    role& operator=(const role&) = delete;
    role(role&&) = delete;
    role& operator=(role&&) = delete;
    virtual ~role() = default;

    /// Returns the name for the command line and the table.
    [[nodiscard]] virtual std::string name() const = 0;
    /// Returns the meaning of the size that `measure` takes.
    [[nodiscard]] virtual std::string size_name() const { return "routers"; }
    /// Returns the sizes of a role whose needs do not grow with the number of routers; empty to use the sizes
    /// of the command line.
    [[nodiscard]] virtual std::vector<std::size_t> own_sizes() const { return {}; }
    /// Measures at one size, from a fixed seed.
    virtual std::vector<figure> measure(std::size_t size) = 0;
};

/// Membership and the spread of revisions (section 4.7 of the design).
std::unique_ptr<role> make_membership();
/// Bytes of each kind of control message, and processor time of encoding, decoding and the socket.
std::unique_ptr<role> make_messages();
/// Fair sharing and permits by number of configured accounts, few of them backlogged.
std::unique_ptr<role> make_accounts();
/// Fair sharing and permits by number of accounts with waiting requests on this router.
std::unique_ptr<role> make_backlogged();
/// Fair sharing and permits by number of waiting requests of 700 accounts.
std::unique_ptr<role> make_waiting();
/// Fair sharing and permits of whole fleets under load, by number of routers.
std::unique_ptr<role> make_sharing();
/// Polling of load reports by number of upstreams.
std::unique_ptr<role> make_load();
/// All decisions of one router, idle and with 15 requests per second, by number of routers.
std::unique_ptr<role> make_composed();

/// Processor time that the calling thread has used.
double thread_seconds();
/// Bytes that the process has allocated and not freed.
double allocated_bytes();

} // namespace bluebell::bench
