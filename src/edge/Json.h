/** \file
 * Accessors for the fields of small JSON objects from other processes. A field
 * that is missing or has another type reads as empty.
 */
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanshed {

/** Parses a JSON object; nothing if the text is not exactly one JSON object.
 * \param aAnyBytes strings may hold bytes that are not UTF-8 */
std::optional<boost::json::object>
ParseJsonObject(std::string_view aText, bool aAnyBytes = false);

std::string
StringOf(const boost::json::object& aObject, std::string_view aName);

/** Returns an unsigned integer. Negative numbers and fractions read as 0. */
std::uint64_t
NumberOf(const boost::json::object& aObject, std::string_view aName);

bool
BoolOf(const boost::json::object& aObject, std::string_view aName);

} // namespace toucanshed
