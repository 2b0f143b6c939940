#include "MessageFields.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/write.hpp>
#include <map>
#include <sstream>

namespace toucanshed {

namespace {

/** Less than the library holds in a field. */
constexpr std::size_t kPartBytes = std::size_t{ 48 } << 10U;

/** Name of a later part of a long value.
 * \param aNumber of the field among those of its name
 * \param aPart from 1 on */
std::string
PartName(std::string_view aName, std::size_t aNumber, std::size_t aPart)
{
  return " " + std::to_string(aNumber) + " " + std::to_string(aPart) + " " +
         std::string(aName);
}

bool
IsPart(std::string_view aName)
{
  return aName.starts_with(' ');
}

bool
HasParts(const http::fields& aFields)
{
  return std::any_of(aFields.begin(), aFields.end(), [](const auto& aField) {
    return IsPart(aField.name_string());
  });
}

/** Returns the value of a field with all its parts. */
std::string
JoinParts(const http::fields& aFields,
          std::string_view aName,
          std::size_t aNumber,
          std::string_view aFirst)
{
  std::string value(aFirst);
  for (std::size_t part = 1;; ++part) {
    const auto found = aFields.find(PartName(aName, aNumber, part));
    if (found == aFields.end()) {
      return value;
    }
    value += found->value();
  }
}

template<typename Message>
std::string
FormatHeadOf(const Message& aMessage)
{
  std::ostringstream text;
  if (!HasParts(aMessage)) {
    text << aMessage.base();
    return text.str();
  }
  Message withoutFields{ aMessage.base() };
  withoutFields.clear();
  text << withoutFields.base();
  std::string head = text.str();
  constexpr std::size_t kLineEnd = 2;
  head.resize(head.size() - kLineEnd); // the empty line follows the fields
  VisitFields(aMessage, [&](std::string_view aName, std::string_view aValue) {
    head.append(aName).append(": ").append(aValue).append("\r\n");
  });
  return head + "\r\n";
}

} // namespace

void
InsertField(http::fields& aFields,
            std::string_view aName,
            std::string_view aValue)
{
  const std::size_t number =
    aValue.size() > kPartBytes ? aFields.count(aName) : 0;
  aFields.insert(aName, aValue.substr(0, kPartBytes));
  std::size_t part = 0;
  for (std::size_t at = kPartBytes; at < aValue.size(); at += kPartBytes) {
    aFields.insert(PartName(aName, number, ++part),
                   aValue.substr(at, kPartBytes));
  }
}

void
EraseField(http::fields& aFields, std::string_view aName)
{
  const std::size_t fields = aFields.erase(aName);
  for (std::size_t number = 0; number < fields; ++number) {
    std::size_t part = 1;
    while (aFields.erase(PartName(aName, number, part)) > 0) {
      ++part;
    }
  }
}

void
SetField(http::fields& aFields, std::string_view aName, std::string_view aValue)
{
  EraseField(aFields, aName);
  InsertField(aFields, aName, aValue);
}

void
VisitFields(
  const http::fields& aFields,
  const std::function<void(std::string_view, std::string_view)>& aVisit)
{
  const bool hasParts = HasParts(aFields);
  std::map<std::string, std::size_t, boost::beast::iless> seen;
  for (const auto& field : aFields) {
    const std::string_view name = field.name_string();
    if (!hasParts) {
      aVisit(name, field.value());
    } else if (!IsPart(name)) {
      const std::size_t number = seen[std::string(name)]++;
      aVisit(name, JoinParts(aFields, name, number, field.value()));
    }
  }
}

std::string
FormatHead(const HttpRequest& aRequest)
{
  return FormatHeadOf(aRequest);
}

std::string
FormatHead(const HttpResponse& aResponse)
{
  return FormatHeadOf(aResponse);
}

std::string
HeaderOf(const http::fields& aFields, std::string_view aName)
{
  const auto found = aFields.find(aName);
  if (found == aFields.end()) {
    return {};
  }
  return found->value().size() < kPartBytes
           ? std::string(found->value())
           : JoinParts(aFields, aName, 0, found->value());
}

} // namespace toucanshed
