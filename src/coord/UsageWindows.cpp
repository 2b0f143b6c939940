#include "UsageWindows.h"

namespace toucanshed {

void
UsageWindows::Count(const TeamId& aTeam, std::int64_t aClusterMs)
{
  ++this->windows[this->WindowAt(aClusterMs)][aTeam];
  while (this->windows.size() > kMaxWindows) {
    this->windows.erase(this->windows.begin());
  }
}

} // namespace toucanshed
