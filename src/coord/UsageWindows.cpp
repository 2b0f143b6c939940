#include "UsageWindows.h"

namespace toucanshed {

void
UsageWindows::Count(const TeamId& aTeam, std::int64_t aTrueMs)
{
  ++this->windows[this->WindowAt(aTrueMs)][aTeam];
  while (this->windows.size() > kMaxWindows) {
    this->windows.erase(this->windows.begin());
  }
}

} // namespace toucanshed
