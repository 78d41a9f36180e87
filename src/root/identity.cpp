#include "root/identity.h"

#include <chrono>
#include <random>

namespace bluebell::root {

std::uint64_t system_seed() {
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

base::incarnation new_incarnation() {
    const std::chrono::system_clock::duration since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return base::incarnation(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count()));
}

decision::endpoint to_endpoint(const base::address& address) {
    return {address.ip, address.port};
}

} // namespace bluebell::root
