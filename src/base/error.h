#pragma once

#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace bluebell::base {

/// Every kind of failure in the system. `to_string` returns the name of the enumerator.
enum class error_code {
    // Requests from callers.
    malformed_request,
    missing_field,
    invalid_field,
    unknown_client_account,
    unknown_pool,
    header_too_large,
    body_too_large,
    idempotency_key_required,
    key_in_progress,
    key_already_ran,
    queue_full,
    memory_full,
    over_fair_share,
    draining,
    not_ready,
    router_isolated,
    no_upstream,
    poison_request,
    stream_unknown,
    stream_version_gone,
    deadline_exceeded,
    caller_gone,
    caller_too_slow,
    retry_budget_exhausted,
    internal_failure,
    // Upstreams.
    upstream_refused_connection,
    upstream_closed_connection,
    upstream_silent,
    upstream_malformed_answer,
    upstream_error_status,
    upstream_stale_fence,
    // Object store.
    store_unavailable,
    store_conflict,
    store_rate_limited,
    store_not_found,
    store_malformed,
    store_answer_lost,
    store_history_lost,
    value_too_large,
    deposed,
    lease_lost,
    // Control messages.
    message_truncated,
    message_oversized,
    message_wrong_version,
    message_wrong_fleet,
    message_unknown_sender,
    message_stale_incarnation,
    message_malformed,
    // Settings, release notes and command line.
    settings_unreadable,
    settings_unknown_section,
    settings_unknown_key,
    settings_duplicate,
    settings_missing,
    settings_invalid_value,
    settings_contradiction,
    note_malformed,
    note_unsupported_version,
    note_unknown_name,
    note_duplicate_name,
    note_invalid_value,
    note_contradiction,
    note_conflict,
    release_not_in_force,
    release_digest_mismatch,
    usage,
    // Processes and threads.
    socket_failure,
    address_in_use,
    worker_failed,
    restart_intensity_exceeded,
};

std::string_view to_string(error_code code);
std::ostream& operator<<(std::ostream& out, error_code code);

/// A failure: its code, the location where it was detected (a field, a key, `file:line` or an object) and a
/// message for humans.
struct error {
    error_code code = error_code::internal_failure;
    std::string location;
    std::string text;
};

/// Exception that ends a worker with a failure; its supervisor restarts the worker.
class fatal_error : public std::runtime_error {
public:
    explicit fatal_error(error cause)
        : std::runtime_error(cause.location + ": " + cause.text), cause_(std::move(cause)) {}
    [[nodiscard]] const error& cause() const { return cause_; }

private:
    error cause_;
};

template <typename T>
using result = tl::expected<T, error>;

/// Returns a failure in the form that converts to every `result`.
inline tl::unexpected<error> failure(error_code code, std::string place, std::string text) {
    return tl::unexpected<error>(error{code, std::move(place), std::move(text)});
}

} // namespace bluebell::base
