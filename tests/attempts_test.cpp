#include "dispatch/attempts.h"

#include <catch2/catch.hpp>

namespace {

using namespace bluebell;
using dispatch::attempt_estimate;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

TEST_CASE("a caller with less time left than others usually have at first has tried before") {
    attempt_estimate estimate;
    CHECK(estimate.record(seconds(10)) == seconds(0));
    CHECK(estimate.record(seconds(10)) == seconds(0));
    CHECK(estimate.record(seconds(9)) == seconds(0));
    CHECK(estimate.record(seconds(4)) == seconds(6));
}

TEST_CASE("a usual timeout that becomes shorter does not make all callers count as late for ever") {
    attempt_estimate estimate;
    for (int i = 0; i < 1000; ++i) {
        estimate.record(seconds(10));
        estimate.record(milliseconds(8000 - i));
    }
    for (int i = 0; i < 1000; ++i) {
        estimate.record(seconds(4));
        estimate.record(milliseconds(3000 - i));
    }
    CHECK(estimate.record(seconds(4)) == seconds(0));
    CHECK(estimate.record(seconds(1)) == seconds(3));
}
