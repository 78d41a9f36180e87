#pragma once

#include "store/config.h"
#include "store/http.h"

#include <string>
#include <vector>

namespace bluebell::ctl {

/// Client of the admin ports of the routers in the VM list.
/// Thread safety: used by one thread.
class fleet final : public store::acknowledgements {
public:
    fleet(const decision::endpoint& store, store::call_limits limits);

    /// Reads the VM list.
    base::result<std::vector<decision::vm_entry>> routers() { return vms_.read(); }
    /// Returns the entry of a router. Error: `store_not_found` if the VM list has no such router.
    base::result<decision::vm_entry> find(const base::vm_id& vm);
    /// Returns the body of a GET on the admin port. Errors: `store_unavailable` if the router does not
    /// answer, `not_ready` with the router's reason for an error status.
    [[nodiscard]] base::result<std::string> fetch(const decision::vm_entry& router,
                                                  const std::string& path) const;
    /// Orders a graceful stop. Error: `store_unavailable`.
    [[nodiscard]] base::result<void> drain(const decision::vm_entry& router) const;
    /// Returns the revision in force on a router. Errors: those of `fetch`, and `store_malformed`.
    [[nodiscard]] base::result<base::revision> in_force(const decision::vm_entry& router) const;
    /// Returns the routers that have an older revision in force or do not answer. Leaving routers are
    /// included, since they may still send work to upstreams.
    base::result<std::vector<base::vm_id>> behind(base::revision revision) override;

private:
    store::http_vm_list vms_;
    store::call_limits limits_;
};

} // namespace bluebell::ctl
