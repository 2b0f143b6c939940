#include "ExposureBudget.h"

namespace toucanshed {

void
ExposureBudget::RecordSend(const RolloutOrder& aOrder, bool aToTarget)
{
  Sends& counted = this->sends[aOrder.service];
  if (counted.order != aOrder.position) {
    counted = Sends{ aOrder.position };
  }
  ++counted.all;
  counted.toTarget += aToTarget ? 1 : 0;
}

bool
ExposureBudget::HasRoom(const RolloutOrder& aOrder) const
{
  const auto found = this->sends.find(aOrder.service);
  const bool counts =
    found != this->sends.end() && found->second.order == aOrder.position;
  const Sends counted = counts ? found->second : Sends{};
  return static_cast<double>(counted.toTarget + 1) <=
         this->share * static_cast<double>(counted.all + 1);
}

} // namespace toucanshed
