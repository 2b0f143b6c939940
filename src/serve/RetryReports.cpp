#include "RetryReports.h"

#include "ServingState.h"

namespace toucanshed {

void
ReportRetries(ServingState& aState)
{
  const auto reports = aState.retries.TakeReports(ServingState::Now());
  for (const RetryReport& report : reports) {
    const std::string labels = "service=\"" + report.service.value + "\"";
    aState.metrics.Count("toucanshed_retries_paid_total", labels, report.paid);
    aState.metrics.Count(
      "toucanshed_retries_withheld_total", labels, report.withheld);
    if (report.changed) {
      aState.log.Emit(
        Event(report.exhausted ? "retries.exhausted" : "retries.available")
          .With("service", report.service)
          .With("paid", report.paid)
          .With("withheld", report.withheld));
    }
  }
}

} // namespace toucanshed
