#pragma once

#include "base/clock.h"

#include <cstdint>

namespace bluebell::dispatch {

/// Prompts that an engine reads beside its streams.
struct prefill_state {
    /// Requests in progress at the engine.
    std::uint32_t running = 0;
    /// Time that the engine needs for the prompts that it has not read.
    base::duration pending_time{};
    /// Time that it needs for the prompt that is to be placed.
    base::duration prompt_time{};
};

/// Returns true if reading the prompt would probably delay the events of the streams that run on the engine
/// by more than `max_pause`, the longest pause that their callers accept; zero if any pause is accepted.
///
/// Answers the load of many long prompts beside running streams: an engine reads a prompt in chunks between
/// the tokens of its streams, so while prompts wait, each event is late by the time of several chunks.
/// Prompts that are not placed wait for another engine or for the next turn, where they delay nobody. A
/// prompt that takes longer than the bound by itself is placed where no other one waits.
[[nodiscard]] bool delays_streams(const prefill_state& engine, base::duration max_pause);

} // namespace bluebell::dispatch
