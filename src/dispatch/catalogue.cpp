#include "dispatch/catalogue.h"

#include <algorithm>
#include <cctype>

namespace bluebell::dispatch {

std::string normalise_host(std::string_view host) {
    std::string made(host.substr(0, host.find(':')));
    std::transform(made.begin(), made.end(), made.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return made;
}

void catalogue::index() {
    by_prefix_.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        by_prefix_.emplace(normalise_host(routes[i].host) + ' ' + routes[i].prefix, i);
    }
}

const route* catalogue::match(std::string_view host, std::string_view path) const {
    std::string_view plain = path.substr(0, path.find_first_of("?#"));
    std::string key = normalise_host(host) + ' ';
    const std::size_t host_size = key.size();
    // Prefixes end with a slash, so only these positions can match.
    for (std::size_t end = plain.rfind('/'); end != std::string_view::npos;) {
        key.resize(host_size);
        key.append(plain.substr(0, end + 1));
        const auto found = by_prefix_.find(key);
        if (found != by_prefix_.end()) {
            return &routes[found->second];
        }
        end = end == 0 ? std::string_view::npos : plain.rfind('/', end - 1);
    }
    return nullptr;
}

const pool* catalogue::find(const base::pool_id& id) const {
    const auto found = pools.find(id);
    return found == pools.end() ? nullptr : &found->second;
}

const engine_traits* catalogue::engine(const base::pool_id& id) const {
    const pool* const kind = find(id);
    return kind != nullptr && kind->engine ? &*kind->engine : nullptr;
}

} // namespace bluebell::dispatch
