#include "relay/shedding.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace bluebell::relay {
namespace {

std::map<peer_address, std::size_t> count_by_peer(const std::vector<unfinished_request>& requests) {
    std::map<peer_address, std::size_t> counts;
    for (const unfinished_request& request : requests) {
        ++counts[request.peer];
    }
    return counts;
}

bool is_stalled(const unfinished_request& request) {
    return request.without_progress >= shedding::stalled_after;
}

} // namespace

std::vector<std::size_t> shedding::choose(const std::vector<unfinished_request>& requests,
                                          std::size_t needed) const {
    std::size_t small_total = 0;
    for (const unfinished_request& request : requests) {
        small_total += request.bytes <= small_bytes ? request.bytes : 0;
    }
    const bool keep_small = small_total <= reserve_;
    const std::map<peer_address, std::size_t> counts = count_by_peer(requests);
    struct candidate {
        bool stalled;
        std::size_t weight;
        std::size_t index;
    };
    std::vector<candidate> candidates;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const unfinished_request& request = requests[i];
        if (request.bytes > 0 && !(keep_small && request.bytes <= small_bytes)) {
            candidates.push_back({is_stalled(request), request.bytes * counts.at(request.peer), i});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
        if (a.stalled != b.stalled) {
            return a.stalled;
        }
        return a.weight != b.weight ? a.weight > b.weight : a.index < b.index;
    });
    std::vector<std::size_t> chosen;
    std::size_t freed = 0;
    for (const candidate& entry : candidates) {
        if (freed >= needed) {
            break;
        }
        freed += requests[entry.index].bytes;
        chosen.push_back(entry.index);
    }
    return chosen;
}

std::vector<std::size_t> shedding::choose_stalled(const std::vector<unfinished_request>& requests,
                                                  std::size_t count) {
    const std::map<peer_address, std::size_t> counts = count_by_peer(requests);
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        if (is_stalled(requests[i])) {
            chosen.push_back(i);
        }
    }
    std::sort(chosen.begin(), chosen.end(), [&](std::size_t a, std::size_t b) {
        const std::size_t a_count = counts.at(requests[a].peer);
        const std::size_t b_count = counts.at(requests[b].peer);
        if (a_count != b_count) {
            return a_count > b_count;
        }
        return requests[a].without_progress != requests[b].without_progress
                   ? requests[a].without_progress > requests[b].without_progress
                   : a < b;
    });
    chosen.resize(std::min(chosen.size(), count));
    return chosen;
}

} // namespace bluebell::relay
