/** \file
 * A number of requests a second.
 */
#pragma once

#include <compare>

namespace toucanshed {

struct RequestRate
{
  double perS = 0;

  auto operator<=>(const RequestRate&) const = default;
};

} // namespace toucanshed
