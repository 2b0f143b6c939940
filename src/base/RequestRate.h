/** \file
 * A rate in requests per second.
 */
#pragma once

#include <compare>

namespace toucanshed {

struct RequestRate
{
  double perSecond = 0;

  auto operator<=>(const RequestRate&) const = default;
};

} // namespace toucanshed
