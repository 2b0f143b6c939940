/** \file
 * Header fields with values of any length. The HTTP library holds at most 64
 * KiB in a field and throws for more, but a list of prompt sections may be
 * longer.
 */
#pragma once

#include "HttpTypes.h"

#include <boost/beast/http/parser.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace toucanshed {

/** Longest name of a field in a message that is read. A longer one exceeds the
 * limits of a head, whatever those are. */
constexpr std::size_t kMaxFieldNameBytes = std::size_t{ 8 } << 10U;

/**
 * A long value is kept in parts: the first one under its own name, the others
 * in fields whose names begin with a space, which no message can have. Fields
 * that messages bring, or whose values come from outside, are therefore added,
 * removed and written only by these functions, and read by HeaderOf.
 */

/** Adds a field behind those of the same name. Precondition: the name has at
 * most kMaxFieldNameBytes. */
void
InsertField(http::fields& aFields,
            std::string_view aName,
            std::string_view aValue);

/** Removes all fields of a name. */
void
EraseField(http::fields& aFields, std::string_view aName);

/** Replaces all fields of a name by one. Precondition: as InsertField. */
void
SetField(http::fields& aFields,
         std::string_view aName,
         std::string_view aValue);

/** Returns the whole value of a header field, of the first one if there are
 * several; empty if it is missing. */
std::string
HeaderOf(const http::fields& aFields, std::string_view aName);

/** Calls aVisit with the name and the whole value of each field, in order. */
void
VisitFields(
  const http::fields& aFields,
  const std::function<void(std::string_view, std::string_view)>& aVisit);

/** Writes a message's head as it is sent. */
std::string
FormatHead(const HttpRequest& aRequest);
std::string
FormatHead(const HttpResponse& aResponse);

/** Reads a message with header fields of any length. */
template<bool isRequest>
class MessageParser : public http::parser<isRequest, http::string_body>
{
private:
  void on_field_impl(http::field,
                     boost::beast::string_view aName,
                     boost::beast::string_view aValue,
                     boost::system::error_code& aError) override
  {
    if (aName.size() > kMaxFieldNameBytes) {
      aError = http::error::header_limit;
      return;
    }
    InsertField(this->get(), aName, aValue);
  }
};

} // namespace toucanshed
