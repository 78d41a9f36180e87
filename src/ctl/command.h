#pragma once

#include "base/error.h"
#include "ctl/fleet.h"
#include "store/config.h"

#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace bluebell::ctl {

/// Exit codes, documented in docs/OPERATIONS.md.
enum class exit_code {
    done = 0,
    failed = 1,     ///< the store or a router does not answer
    refused = 2,    ///< usage, or a bad release note
    conflict = 3,   ///< another operator's change came first
    incomplete = 4, ///< accepted, but not in force on every router in time
    unknown = 5,    ///< the answer of the store was lost and the outcome cannot be determined
};

struct command_options {
    decision::endpoint store;
    bool json = false;
    /// How long `apply` waits for a release to be in force.
    base::duration wait = std::chrono::seconds(30);
};

/// The commands of `bluebellctl`. Results go to `out`, errors and progress to `err`.
/// Thread safety: used by one thread.
class commands {
public:
    commands(const command_options& options, std::ostream& out, std::ostream& err);

    exit_code apply(const std::string& file);
    exit_code validate(const std::string& file);
    exit_code diff(const std::string& file);
    exit_code status();
    exit_code releases();
    exit_code drain(const base::vm_id& vm);
    exit_code dump(const base::vm_id& vm);
    /// Prints the status each second, `rounds` times.
    exit_code top(int rounds);

private:
    using image_pointer = std::shared_ptr<const store::config_image>;

    tl::expected<decision::release_note, exit_code> read_note(const std::string& file);
    tl::expected<image_pointer, exit_code> read_release();
    /// Prints the faults and says what to do about them.
    exit_code report(const std::vector<base::error>& faults);
    tl::expected<store::published_release, exit_code> publish(const decision::release_note& note);
    exit_code wait_in_force(base::revision rev);
    void print_accepted(const decision::release_change& change);
    void print_router(const decision::vm_entry& router, base::revision expected);
    void print_router_json(const decision::vm_entry& router);

    command_options options_;
    std::ostream& out_;
    std::ostream& err_;
    store::http_object_store store_;
    fleet fleet_;
    store::publisher publisher_;
};

} // namespace bluebell::ctl
