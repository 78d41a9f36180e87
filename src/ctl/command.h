#pragma once

#include "base/error.h"
#include "ctl/fleet.h"
#include "store/config.h"

#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace bluebell::ctl {

/// Exit codes of `bluebellctl`, documented in docs/OPERATIONS.md.
enum class exit_code {
    done = 0,
    failed = 1,     ///< the store or a router does not answer
    refused = 2,    ///< usage, or a bad release note
    conflict = 3,   ///< another operator's change was accepted first
    incomplete = 4, ///< accepted, but not in force on every router within the wait
    unknown = 5,    ///< the answer of the store was lost and the outcome cannot be determined
};

/// Options that all commands share.
struct command_options {
    /// Address of the object API.
    decision::endpoint store;
    /// Prints results as JSON instead of text.
    bool json = false;
    /// How long `apply` waits for each revision to be in force on every router.
    base::duration wait = std::chrono::seconds(30);
};

/// The commands of `bluebellctl`. Each returns the exit code of the program. Results go to `out`, errors and
/// progress to `err`; with `json`, errors go to `out` as well.
/// Thread safety: used by one thread.
class commands {
public:
    commands(const command_options& options, std::ostream& out, std::ostream& err);

    /// Publishes the release note in `file` and waits until it is in force on every router. Publishes a
    /// second revision if the note withdraws upstreams that have to depart first.
    exit_code apply(const std::string& file);
    /// Checks the release note in `file` against the release in force.
    exit_code validate(const std::string& file);
    /// Prints the differences that the release note in `file` would make.
    exit_code diff(const std::string& file);
    /// Prints the release in force and the state of every router.
    exit_code status();
    /// Prints the last accepted changes, newest first.
    exit_code releases();
    /// Orders a router to stop gracefully; does not wait for the end.
    exit_code drain(const base::vm_id& vm);
    /// Prints the whole state of a router as JSON.
    exit_code dump(const base::vm_id& vm);
    /// Prints the status each second, `rounds` times.
    exit_code top(int rounds);

private:
    using image_pointer = std::shared_ptr<const store::config_image>;

    tl::expected<decision::release_note, exit_code> read_note(const std::string& file);
    tl::expected<image_pointer, exit_code> read_release();
    /// Prints the errors and a hint on how to resolve them. Returns the exit code that they call for.
    exit_code report(const std::vector<base::error>& errors);
    tl::expected<store::published_release, exit_code> publish(const decision::release_note& note);
    /// Polls the routers until the revision is in force on all of them or the wait ends.
    exit_code wait_in_force(base::revision revision);
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
