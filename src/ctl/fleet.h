#pragma once

#include "store/config.h"
#include "store/http.h"

#include <string>
#include <vector>

namespace bluebell::ctl {

/// Asks the routers that the VM list shows, over their admin ports.
/// Thread safety: used by one thread.
class fleet final : public store::acknowledgements {
public:
    fleet(const decision::endpoint& store, store::call_limits limits);

    base::result<std::vector<decision::vm_entry>> routers() { return vms_.read(); }
    /// Error `store_not_found` if the VM list does not show the router.
    base::result<decision::vm_entry> find(const base::vm_id& vm);
    /// Body of a GET on the admin port. Errors: `store_unavailable`, `not_ready` with the router's reason.
    [[nodiscard]] base::result<std::string> get(const decision::vm_entry& router,
                                                const std::string& path) const;
    [[nodiscard]] base::result<void> drain(const decision::vm_entry& router) const;
    /// The revision that a router has in force.
    [[nodiscard]] base::result<base::revision> in_force(const decision::vm_entry& router) const;
    /// Routers that are leaving count as well, since they may still send work to upstreams.
    base::result<std::vector<base::vm_id>> behind(base::revision rev) override;

private:
    store::http_vm_list vms_;
    store::call_limits limits_;
};

} // namespace bluebell::ctl
