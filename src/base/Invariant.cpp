#include "Invariant.h"

#include <cstdio>
#include <cstdlib>

namespace toucanshed {

void
BrokenInvariant(std::string_view aMessage)
{
  std::fprintf(stderr,
               "event=broken_invariant what=\"%.*s\"\n",
               static_cast<int>(aMessage.size()),
               aMessage.data());
  std::abort();
}

} // namespace toucanshed
