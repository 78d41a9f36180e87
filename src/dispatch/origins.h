#pragma once

#include "base/clock.h"
#include "base/id.h"
#include "decision/message.h"

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bluebell::dispatch {

/// Service and software at which a stream began.
struct stream_origin {
    base::pool_id pool;
    base::software_version version;

    friend bool operator==(const stream_origin& a, const stream_origin& b) {
        return a.pool == b.pool && a.version == b.version;
    }
};

/// Origins of the streams that callers may still resume.
///
/// What two software versions write does not fit together, and upstreams do not check it. So a stream goes on
/// only at its origin, and only routers that know the origin let it go on: nothing is inferred from the list
/// of upstreams, which shows neither those that have left nor when the others came.
/// Thread safety: used by one thread. Time points of successive calls do not go back.
class stream_origins {
public:
    /// Further streams are not recorded; they cannot be resumed.
    static constexpr std::size_t max_streams = 200'000;

    /// Records a stream that has begun at this router and that its caller may resume until `valid_until`.
    void record_own(base::stream_key key, const stream_origin& origin, base::time_point valid_until,
                    base::time_point now);
    /// Records streams that other routers report. An origin that contradicts the recorded one makes the
    /// stream unknown for good.
    void record(const std::vector<decision::begun_stream>& streams, base::time_point now);
    /// As `record`, for streams that were read from the store.
    void record_stored(const std::vector<decision::begun_stream>& streams, base::time_point now);
    /// The answer has ended as it should, so that the stream need not be reported. It stays known here, since
    /// its caller may have lost the end.
    void record_end(base::stream_key key);
    /// Forgets the streams that callers do not resume any more.
    void expire(base::time_point now);

    /// Returns the origin of the stream; null if it is not known.
    [[nodiscard]] const stream_origin* find(base::stream_key key) const;
    /// Returns the stream as it is reported to other routers; empty if it is not known.
    [[nodiscard]] std::optional<decision::begun_stream> report(base::stream_key key,
                                                               base::time_point now) const;
    /// Streams that have begun at this router since the last but one call: each is reported twice, since a
    /// datagram may be lost.
    [[nodiscard]] std::vector<decision::begun_stream> take_news(base::time_point now);
    /// All streams that have begun at this router.
    [[nodiscard]] std::vector<decision::begun_stream> own(base::time_point now) const;
    /// Sets whether this router writes the origins to the store. If it begins to, all that were not read from
    /// there are to be written; returns true then.
    bool set_writer(bool writes);
    /// Streams that were recorded since the last call while this router is the writer.
    [[nodiscard]] std::vector<decision::begun_stream> take_unwritten(base::time_point now);
    [[nodiscard]] std::size_t size() const { return streams_.size(); }

private:
    struct known_stream {
        /// Empty if reports contradict each other.
        std::optional<stream_origin> origin;
        base::time_point valid_until;
        bool own = false;
        bool ended = false;
        /// It was read from the store.
        bool stored = false;
    };
    /// Returns false if the stream is known already, or if there are too many.
    bool add(base::stream_key key, const known_stream& stream);
    [[nodiscard]] std::vector<decision::begun_stream> reports(const std::vector<base::stream_key>& keys,
                                                              base::time_point now) const;

    std::unordered_map<base::stream_key, known_stream> streams_;
    std::set<std::pair<base::time_point, base::stream_key>> expiries_;
    /// Own streams that were not reported yet, and those that were reported once.
    std::vector<base::stream_key> news_;
    std::vector<base::stream_key> reported_once_;
    bool writes_ = false;
    std::vector<base::stream_key> unwritten_;
};

} // namespace bluebell::dispatch
