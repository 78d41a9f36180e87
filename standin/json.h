#pragma once

#include "standin/fault.h"

#include <cxxtools/jsondeserializer.h>
#include <cxxtools/serializationinfo.h>
#include <exception>
#include <sstream>
#include <string>

namespace bluebell::standin {

/// Parses a JSON text. Returns an empty value if it is not JSON.
inline cxxtools::SerializationInfo parse_json(const std::string& text) {
    cxxtools::SerializationInfo parsed;
    try {
        std::istringstream in(text);
        cxxtools::JsonDeserializer deserializer(in);
        deserializer.deserialize(parsed);
    } catch (const std::exception&) {
        return {};
    }
    return parsed;
}

/// Returns a member of an object, or `fallback` if it is missing or of another type.
template <typename T>
T member(const cxxtools::SerializationInfo& object, const std::string& name, T fallback) {
    try {
        T value = fallback;
        object.getMember(name, value);
        return value;
    } catch (const std::exception&) {
        return fallback;
    }
}

/// Parses the body of `PUT /fault`, an object with the members kind, marker, times, ms and bytes. Missing
/// members get a default: one crash of a second, for any request.
inline fault parse_fault(const std::string& text) {
    const cxxtools::SerializationInfo parsed = parse_json(text);
    const std::string kind = member<std::string>(parsed, "kind", "crash");
    fault result;
    if (kind == "silent") {
        result.kind = fault_kind::silent;
    } else if (kind == "late") {
        result.kind = fault_kind::late;
    } else if (kind == "cut") {
        result.kind = fault_kind::cut;
    }
    result.marker = member<std::string>(parsed, "marker", "");
    result.times = member<std::uint32_t>(parsed, "times", 1);
    result.time = std::chrono::milliseconds(member<std::int64_t>(parsed, "ms", 1000));
    result.bytes = member<std::uint64_t>(parsed, "bytes", 0);
    return result;
}

} // namespace bluebell::standin
