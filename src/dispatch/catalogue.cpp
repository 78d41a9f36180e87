#include "dispatch/catalogue.h"

#include <algorithm>
#include <cctype>

namespace bluebell::dispatch {

std::string normalise_host(std::string_view host) {
    std::string normalised(host.substr(0, host.find(':')));
    std::transform(normalised.begin(), normalised.end(), normalised.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return normalised;
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
    // Prefixes end with a slash, so only positions after a slash can match.
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
    const pool* const found_pool = find(id);
    return found_pool != nullptr && found_pool->engine ? &*found_pool->engine : nullptr;
}

} // namespace bluebell::dispatch
