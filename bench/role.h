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
    /// What `measure` takes as its size.
    [[nodiscard]] virtual std::string size_name() const { return "routers"; }
    /// Sizes of a role whose needs do not grow with the routers; empty for the sizes of the command line.
    [[nodiscard]] virtual std::vector<std::size_t> own_sizes() const { return {}; }
    /// Runs at one size, from a fixed seed.
    virtual std::vector<figure> measure(std::size_t size) = 0;
};

/// Membership and the spread of revisions (section 4.7 of the design).
std::unique_ptr<role> make_membership();
/// Bytes of each kind of control message, and processor time for encoding and for the socket.
std::unique_ptr<role> make_messages();
/// Fair sharing and permits by configured accounts, with few of them backlogged.
std::unique_ptr<role> make_accounts();
/// Fair sharing and permits by accounts with waiting requests on this router.
std::unique_ptr<role> make_backlogged();
/// Fair sharing and permits by waiting requests of 700 accounts.
std::unique_ptr<role> make_waiting();
/// Fair sharing and permits of whole fleets under load.
std::unique_ptr<role> make_sharing();
/// Polls of load reports by upstreams.
std::unique_ptr<role> make_load();
/// All decisions of one router together, idle and with 15 requests a second.
std::unique_ptr<role> make_composed();

/// Processor time that the calling thread has used.
double thread_seconds();
/// Bytes that the process has allocated and not freed.
double allocated_bytes();

} // namespace bluebell::bench
