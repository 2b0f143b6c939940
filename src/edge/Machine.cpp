#include "Machine.h"

#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>

namespace toucanshed {

namespace {

/** Used of a machine whose settings do not state its memory: others may run on
 * it too. */
constexpr std::size_t kMaxMemoryBytes = 512000000;

} // namespace

MachineLimits
ThisMachine()
{
  MachineLimits machine{ kMaxMemoryBytes, kFileDescriptors };
  const long pages = sysconf(_SC_PHYS_PAGES);
  const long pageBytes = sysconf(_SC_PAGESIZE);
  if (pages > 0 && pageBytes > 0) {
    machine.memoryBytes = std::min(kMaxMemoryBytes,
                                   static_cast<std::size_t>(pages) *
                                     static_cast<std::size_t>(pageBytes));
  }
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    machine.descriptors =
      std::max<std::size_t>(limit.rlim_cur, kFileDescriptors);
  }
  machine.descriptors -= kFileDescriptors;
  return machine;
}

} // namespace toucanshed
