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

  /** The value of the switch; 0 if it is off. */
  [[nodiscard]] std::int64_t Value(const std::string& aName) const;
  [[nodiscard]] bool IsOn(const std::string& aName) const
  {
    return this->Value(aName) != 0;
  }
  void Set(const std::string& aName, std::int64_t aValue);
  /** Decides at random whether a fault given in percent occurs now. */
  bool ShouldInject(const std::string& aName);
  /** How often the switch was turned on. For faults that affect only the
   * connections or requests that were open at that moment. */
  [[nodiscard]] std::uint64_t TimesTurnedOn(const std::string& aName) const;

  /** Serves POST /faults {"name": number, ...}; empty for other requests. */
  std::optional<HttpResponse> HandleRequest(const HttpRequest& aRequest);

private:
  std::map<std::string, std::int64_t> values;
  std::map<std::string, std::uint64_t> timesTurnedOn;
  Random random;
};

} // namespace toucanshed::standin
