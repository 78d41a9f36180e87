#pragma once

#include "base/clock.h"
#include "base/id.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bluebell::dispatch {

/// The evacuated data centres as one reading of the store showed them.
struct evacuation_view {
    std::set<base::data_centre_id> data_centres;
    /// Earliest time at which the store may have been in this state.
    base::time_point confirmed_at;
};

/// An evacuation that has come into force or was lifted.
struct evacuation_change {
    base::data_centre_id data_centre;
    bool in_force = false;
    /// Router whose view caused the change; empty if it was this router's own reading.
    base::vm_id source;
    /// Age of that view.
    base::duration age{};
};

/// Which data centres are evacuated, from the views of this router and of its peers.
///
/// An evacuation takes effect with the first view that shows it, and is lifted only by a view that was
/// confirmed at least `lift_margin` after the last one that showed it. So the result does not depend on the
/// order in which views arrive: one that is late or repeated neither lifts an evacuation nor restores one
/// that a newer view has lifted. Views have no common position, since that of the store may go back. Thread
/// safety: used by one thread. Time points of successive calls do not go back.
class evacuations {
public:
    /// Covers the way of a message, and of an answer of the store whose time is only known as that of the
    /// request.
    static constexpr base::duration lift_margin = std::chrono::seconds(1);
    /// A view that is older than this when it arrives lifts nothing. A view ages for up to 11.2 s while a
    /// call to the store waits for a change.
    static constexpr base::duration max_lifting_age = std::chrono::seconds(15);
    /// How long `ended_at` knows the end of an evacuation.
    static constexpr base::duration end_memory = std::chrono::minutes(10);

    /// Takes the newest reading of this router. Returns true if it shows other data centres than the one
    /// before, or is the first.
    bool record_own(evacuation_view view, base::time_point now);
    /// Takes the view of a peer.
    void record_peer(const base::vm_id& from, evacuation_view view, base::time_point now);
    /// Returns what has come into force and what was lifted since the last call.
    [[nodiscard]] std::vector<evacuation_change> take_changes();

    [[nodiscard]] bool in_force(const base::data_centre_id& data_centre) const {
        return in_force_.count(data_centre) != 0;
    }
    [[nodiscard]] std::set<base::data_centre_id> data_centres() const;
    /// Returns since when the evacuation is in force here; empty if it is not.
    [[nodiscard]] std::optional<base::time_point> since(const base::data_centre_id& data_centre) const;
    /// Returns when the last view that showed the evacuation was confirmed; empty if it is not in force.
    [[nodiscard]] std::optional<base::time_point> confirmed_at(const base::data_centre_id& data_centre) const;
    /// Returns when the evacuation was lifted here, for `end_memory` after that; empty if it is in force or
    /// nothing is known.
    [[nodiscard]] std::optional<base::time_point> ended_at(const base::data_centre_id& data_centre,
                                                           base::time_point now) const;

    /// The last reading of this router; empty before the first.
    [[nodiscard]] const std::optional<evacuation_view>& own() const { return own_; }
    /// True if any view that can lift an evacuation is known.
    [[nodiscard]] bool known() const { return newest_.has_value() || !in_force_.empty(); }
    /// The views that another router needs to reach the same result: the newest one, and for each evacuation
    /// in force that it does not show the last one that did.
    [[nodiscard]] std::vector<evacuation_view> decisive() const;

private:
    struct evacuation {
        base::time_point since;
        /// The newest view that shows it.
        evacuation_view shown;
    };
    void record(const base::vm_id& from, const evacuation_view& view, base::time_point now);

    std::optional<evacuation_view> own_;
    /// The newest view that was not too old to lift anything. A data centre that it does not show and that is
    /// not in force was shown by no view later than `lift_margin` before it.
    std::optional<evacuation_view> newest_;
    std::map<base::data_centre_id, evacuation> in_force_;
    std::map<base::data_centre_id, base::time_point> ended_;
    std::vector<evacuation_change> changes_;
};

} // namespace bluebell::dispatch
