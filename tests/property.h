#pragma once

#include <cstdint>
#include <iostream>
#include <rapidcheck.h>
#include <utility>

namespace bluebell::tests {

/// Checks a property of rapidcheck with a fixed seed, so that every run tries the same cases. Prints the
/// smallest counterexample if there is one.
template <typename Testable>
bool holds(std::uint64_t seed, Testable&& testable, int cases = 200) {
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    const rc::detail::TestResult result =
        rc::detail::checkTestable(std::forward<Testable>(testable), rc::detail::TestMetadata(), params);
    const bool success = result.template is<rc::detail::SuccessResult>();
    if (!success) {
        rc::detail::printResultMessage(result, std::cerr);
    }
    return success;
}

} // namespace bluebell::tests
