#include "ctl/fleet.h"

#include "base/json.h"

#include <algorithm>
#include <cxxtools/serializationinfo.h>

namespace bluebell::ctl {
namespace {

constexpr unsigned first_error_status = 400;

base::error unreachable(const decision::vm_entry& router, const std::string& text) {
    return {base::error_code::store_unavailable, router.vm.value(), "router does not answer: " + text};
}

} // namespace

fleet::fleet(const decision::endpoint& store, store::call_limits limits)
    : vms_(store, limits), limits_(limits) {}

base::result<decision::vm_entry> fleet::find(const base::vm_id& vm) {
    const base::result<std::vector<decision::vm_entry>> entries = routers();
    if (!entries) {
        return tl::unexpected<base::error>(entries.error());
    }
    const auto found = std::find_if(entries->begin(), entries->end(),
                                    [&](const decision::vm_entry& entry) { return entry.vm == vm; });
    if (found == entries->end()) {
        return base::failure(base::error_code::store_not_found, vm.value(),
                             "the VM list does not show this router");
    }
    return *found;
}

base::result<std::string> fleet::fetch(const decision::vm_entry& router, const std::string& path) const {
    store::http_connection connection(router.admin, limits_);
    base::result<store::http_answer> answer = connection.fetch(path, "");
    if (!answer) {
        return tl::unexpected<base::error>(unreachable(router, answer.error().text));
    }
    if (answer->status >= first_error_status) {
        return base::failure(base::error_code::not_ready, router.vm.value(), answer->body);
    }
    return std::move(answer->body);
}

base::result<void> fleet::drain(const decision::vm_entry& router) const {
    store::http_connection connection(router.admin, limits_);
    cxxtools::http::Request request("/drain");
    request.method("POST");
    const base::result<store::http_answer> answer = connection.change(request);
    if (!answer) {
        return tl::unexpected<base::error>(unreachable(router, answer.error().text));
    }
    return {};
}

base::result<base::revision> fleet::in_force(const decision::vm_entry& router) const {
    const base::result<std::string> text = fetch(router, "/status");
    if (!text) {
        return tl::unexpected<base::error>(text.error());
    }
    const base::result<cxxtools::SerializationInfo> status =
        base::parse_json(*text, base::error_code::store_malformed, router.vm.value());
    if (!status) {
        return tl::unexpected<base::error>(status.error());
    }
    try {
        std::uint64_t revision = 0;
        status->getMember("state").getMember("router").getMember("revision") >>= revision;
        return base::revision(revision);
    } catch (const std::exception& fault) {
        return base::failure(base::error_code::store_malformed, router.vm.value(), fault.what());
    }
}

base::result<std::vector<base::vm_id>> fleet::behind(base::revision revision) {
    const base::result<std::vector<decision::vm_entry>> entries = routers();
    if (!entries) {
        return tl::unexpected<base::error>(entries.error());
    }
    std::vector<base::vm_id> late;
    for (const decision::vm_entry& router : *entries) {
        const base::result<base::revision> current = in_force(router);
        if (!current || *current < revision) {
            late.push_back(router.vm);
        }
    }
    return late;
}

} // namespace bluebell::ctl
