#pragma once

#include "base/ring.h"
#include "base/worker.h"
#include "store/directory.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bluebell::store {

/// Reads and writes the origins of streams as the dispatcher orders it. What could not be written is written
/// with the next batch.
/// Thread safety: `run` on the thread of the worker; `interrupt` from any thread.
class stream_recorder final : public base::worker {
public:
    /// Pre-condition: the rings outlive the worker.
    stream_recorder(std::unique_ptr<directory> source, base::ring<dispatch::event>& events,
                    base::ring<dispatch::stream_order>& orders, std::uint64_t seed);
    [[nodiscard]] std::string name() const override { return "stream_recorder"; }
    void run(base::stop_signal& stop) override;
    void interrupt() override {
        source_->interrupt();
        orders_.close();
    }

private:
    /// Takes all orders that are in the ring; waits at most `wait` for the first.
    void receive_orders(base::duration wait);
    /// Reads the origins and reports them to the dispatcher. Returns false after a failure.
    bool read();
    /// Writes what is waiting. Returns false after a failure.
    bool write();
    void record_failure(const char* event, const base::error& cause);

    std::unique_ptr<directory> source_;
    base::ring<dispatch::event>& events_;
    base::ring<dispatch::stream_order>& orders_;
    std::mt19937_64 random_;
    bool read_ordered_ = false;
    std::vector<decision::begun_stream> unwritten_;
    /// Number of the next batch; empty until the origins were read.
    std::optional<std::uint64_t> next_batch_;
};

} // namespace bluebell::store
