#include "dispatch/prefill.h"

namespace bluebell::dispatch {
namespace {

/// Part of the longest accepted pause that may go into reading prompts. The rest covers the tokens of the
/// streams themselves, prompts that other routers have just placed, and the way to the caller.
constexpr double prefill_share = 0.4;

} // namespace

bool delays_streams(const prefill_state& engine, base::duration max_pause) {
    if (max_pause <= base::duration::zero() || engine.running == 0) {
        return false;
    }
    const bool waiting = engine.pending_time > base::duration::zero();
    return waiting && engine.pending_time + engine.prompt_time >
                          std::chrono::duration_cast<base::duration>(max_pause * prefill_share);
}

} // namespace bluebell::dispatch
