#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/id.h"
#include "base/unit.h"
#include "decision/event.h"

#include <string>
#include <vector>

namespace bluebell::store {

/// Value of an object and the version that it has.
struct stored_object {
    std::string value;
    base::object_version version;
};

/// The platform's store of versioned objects.
/// Errors of every method: `store_unavailable` (the call had no effect), `store_answer_lost` (the call may
/// have taken effect), `store_rate_limited`, `store_malformed`.
/// Thread safety: one instance is used by one thread.
class object_store {
public:
    object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    object_store(object_store&&) = delete;
    object_store& operator=(object_store&&) = delete;
    virtual ~object_store() = default;

    /// Reads the current value. Further error: `store_not_found`.
    virtual base::result<stored_object> read(const base::object_name& name) = 0;
    /// Replaces the object if its version is still `expected`, or creates it if `expected` is zero and no
    /// such object exists. Returns the new version. Further errors: `store_conflict`, `value_too_large`.
    virtual base::result<base::object_version> update(const base::object_name& name, const std::string& value,
                                                      base::object_version expected) = 0;
    /// Waits until the version of the object differs from `known_version`, at most for `timeout`. Returns the
    /// current object; its value may be empty if the version is still `known_version`.
    /// Further error: `store_not_found`.
    virtual base::result<stored_object> watch(const base::object_name& name,
                                              base::object_version known_version, base::duration timeout) = 0;
    /// Deletes the object if its version is still `expected`.
    /// Further errors: `store_conflict`, `store_not_found`.
    virtual base::result<void> remove(const base::object_name& name, base::object_version expected) = 0;
    /// Returns the names of all objects that begin with `prefix`.
    virtual base::result<std::vector<base::object_name>> list(const std::string& prefix) = 0;
};

/// The platform's list of VMs, which lags behind the actual set of VMs.
/// Thread safety: one instance is used by one thread.
class vm_list {
public:
    vm_list() = default;
    vm_list(const vm_list&) = delete;
    vm_list& operator=(const vm_list&) = delete;
    vm_list(vm_list&&) = delete;
    vm_list& operator=(vm_list&&) = delete;
    virtual ~vm_list() = default;

    /// Reads the whole list. Errors: those of `object_store::read`.
    virtual base::result<std::vector<decision::vm_entry>> read() = 0;
};

} // namespace bluebell::store
