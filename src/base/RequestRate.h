/** \file
 * A number of requests a second.
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
