#include "decision/journal.h"

#include <algorithm>
#include <tuple>

namespace bluebell::decision {
namespace {

/// `ran` takes precedence over `released`, since a key that may have run must not run again.
int precedence(key_state state) {
    switch (state) {
    case key_state::claimed:
        return 0;
    case key_state::released:
        return 1;
    case key_state::ran:
        return 2;
    }
    return 2;
}

/// Orders records by key and attempt; of one attempt, the record that takes precedence comes first.
bool precedes(const journal_record& a, const journal_record& b) {
    if (!(a.key == b.key)) {
        return a.key < b.key;
    }
    if (!(a.attempt == b.attempt)) {
        return a.attempt < b.attempt;
    }
    return std::make_tuple(precedence(a.state), a.written_s) >
           std::make_tuple(precedence(b.state), b.written_s);
}

} // namespace

bool same_update(const journal_tail& a, const journal_tail& b) {
    return a.partition == b.partition && a.owner == b.owner && a.incarnation == b.incarnation &&
           a.generation == b.generation && a.batch == b.batch;
}

std::vector<journal_record> merge_records(std::vector<journal_record> records, std::uint32_t oldest_s) {
    std::sort(records.begin(), records.end(), precedes);
    records.erase(std::unique(records.begin(), records.end(),
                              [](const journal_record& a, const journal_record& b) {
                                  return a.key == b.key && a.attempt == b.attempt;
                              }),
                  records.end());
    records.erase(std::remove_if(records.begin(), records.end(),
                                 [&](const journal_record& r) { return r.written_s < oldest_s; }),
                  records.end());
    return records;
}

std::uint32_t oldest_retained_s(std::uint32_t clock_s, std::uint32_t retention_s) {
    return clock_s > retention_s ? clock_s - retention_s : 0;
}

} // namespace bluebell::decision
