/** \file
 * The fault switches of a stand-in, set over HTTP while it runs.
 */
#pragma once

#include "base/Random.h"
#include "edge/HttpTypes.h"

#include <map>
#include <optional>
#include <string>

namespace toucanshed::standin {

/** Thread safety: none; a stand-in runs on one thread. */
class FaultSwitches
{
public:
  explicit FaultSwitches(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  /** The switch's number, 0 when it is off. */
  [[nodiscard]] std::int64_t Value(const std::string& aName) const;
  [[nodiscard]] bool IsOn(const std::string& aName) const
  {
    return this->Value(aName) != 0;
  }
  void Set(const std::string& aName, std::int64_t aValue);
  /** Draws whether a fault given in percent strikes now. */
  bool ShouldInject(const std::string& aName);
  /** How often the switch was turned on, for faults that hit what was open at
   * that moment. */
  [[nodiscard]] std::uint64_t TimesTurnedOn(const std::string& aName) const;

  /** Serves POST /faults {"name": number, ...}; nothing for other requests. */
  std::optional<HttpResponse> HandleRequest(const HttpRequest& aRequest);

private:
  std::map<std::string, std::int64_t> values;
  std::map<std::string, std::uint64_t> timesTurnedOn;
  Random random;
};

} // namespace toucanshed::standin
