#include "decision/request.h"

namespace bluebell::decision {

std::string_view to_string(request_class value) {
    switch (value) {
    case request_class::urgent:
        return "urgent";
    case request_class::ordinary:
        return "ordinary";
    case request_class::patient:
        return "patient";
    }
    return "ordinary";
}

std::string_view to_string(outcome value) {
    switch (value) {
    case outcome::ran:
        return "ran";
    case outcome::not_run:
        return "not_run";
    case outcome::outcome_unknown:
        return "outcome_unknown";
    }
    return "outcome_unknown";
}

} // namespace bluebell::decision
