#include "dispatch/origins.h"

#include <utility>

namespace bluebell::dispatch {

bool stream_origins::add(base::stream_key key, const known_stream& stream) {
    const auto found = streams_.find(key);
    if (found != streams_.end()) {
        if (found->second.origin && !(*found->second.origin == *stream.origin)) {
            found->second.origin.reset();
        }
        return false;
    }
    if (streams_.size() >= max_streams) {
        return false;
    }
    streams_.emplace(key, stream);
    expiries_.emplace(stream.valid_until, key);
    if (writes_ && !stream.stored) {
        unwritten_.push_back(key);
    }
    return true;
}

void stream_origins::record_own(base::stream_key key, const stream_origin& origin,
                                base::time_point valid_until, base::time_point now) {
    if (valid_until > now && add(key, {origin, valid_until, true, false, false})) {
        news_.push_back(key);
    }
}

void stream_origins::record(const std::vector<decision::begun_stream>& streams, base::time_point now) {
    for (const decision::begun_stream& stream : streams) {
        add(stream.key,
            {stream_origin{stream.pool, stream.version}, now + stream.valid_for, false, false, false});
    }
}

void stream_origins::record_stored(const std::vector<decision::begun_stream>& streams, base::time_point now) {
    for (const decision::begun_stream& stream : streams) {
        add(stream.key,
            {stream_origin{stream.pool, stream.version}, now + stream.valid_for, false, false, true});
    }
}

void stream_origins::record_end(base::stream_key key) {
    const auto found = streams_.find(key);
    if (found != streams_.end()) {
        found->second.ended = true;
    }
}

void stream_origins::expire(base::time_point now) {
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        streams_.erase(expiries_.begin()->second);
        expiries_.erase(expiries_.begin());
    }
}

const stream_origin* stream_origins::find(base::stream_key key) const {
    const auto found = streams_.find(key);
    return found == streams_.end() || !found->second.origin ? nullptr : &*found->second.origin;
}

std::optional<decision::begun_stream> stream_origins::report(base::stream_key key,
                                                             base::time_point now) const {
    const auto found = streams_.find(key);
    if (found == streams_.end() || !found->second.origin || found->second.valid_until <= now) {
        return std::nullopt;
    }
    const known_stream& stream = found->second;
    return decision::begun_stream{key, stream.origin->pool, stream.origin->version, stream.valid_until - now};
}

std::vector<decision::begun_stream> stream_origins::reports(const std::vector<base::stream_key>& keys,
                                                            base::time_point now) const {
    std::vector<decision::begun_stream> result;
    for (const base::stream_key key : keys) {
        const auto found = streams_.find(key);
        std::optional<decision::begun_stream> stream =
            found == streams_.end() || found->second.ended ? std::nullopt : report(key, now);
        if (stream) {
            result.push_back(std::move(*stream));
        }
    }
    return result;
}

std::vector<decision::begun_stream> stream_origins::take_news(base::time_point now) {
    std::vector<base::stream_key> keys = std::exchange(reported_once_, news_);
    keys.insert(keys.end(), news_.begin(), news_.end());
    news_.clear();
    return reports(keys, now);
}

std::vector<decision::begun_stream> stream_origins::own(base::time_point now) const {
    std::vector<base::stream_key> keys;
    for (const auto& [key, stream] : streams_) {
        if (stream.own) {
            keys.push_back(key);
        }
    }
    return reports(keys, now);
}

bool stream_origins::set_writer(bool writes) {
    if (writes == std::exchange(writes_, writes)) {
        return false;
    }
    unwritten_.clear();
    if (writes) {
        for (const auto& [key, stream] : streams_) {
            if (!stream.stored) {
                unwritten_.push_back(key);
            }
        }
    }
    return writes;
}

std::vector<decision::begun_stream> stream_origins::take_unwritten(base::time_point now) {
    return reports(std::exchange(unwritten_, {}), now);
}

} // namespace bluebell::dispatch
