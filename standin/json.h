#pragma once

#include "standin/fault.h"

#include <cxxtools/jsondeserializer.h>
#include <cxxtools/serializationinfo.h>
#include <exception>
#include <sstream>
#include <string>

namespace bluebell::standin {

/// The parsed body, or an empty one if it is not JSON.
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

/// A member of an object, or `fallback` if it is missing or of another type.
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

/// Reads the body of `PUT /fault`: kind, marker, times, ms, bytes.
inline fault parse_fault(const std::string& text) {
    const cxxtools::SerializationInfo parsed = parse_json(text);
    const std::string kind = member<std::string>(parsed, "kind", "crash");
    fault read;
    if (kind == "silent") {
        read.kind = fault_kind::silent;
    } else if (kind == "late") {
        read.kind = fault_kind::late;
    } else if (kind == "cut") {
        read.kind = fault_kind::cut;
    }
    read.marker = member<std::string>(parsed, "marker", "");
    read.times = member<std::uint32_t>(parsed, "times", 1);
    read.time = std::chrono::milliseconds(member<std::int64_t>(parsed, "ms", 1000));
    read.bytes = member<std::uint64_t>(parsed, "bytes", 0);
    return read;
}

} // namespace bluebell::standin
