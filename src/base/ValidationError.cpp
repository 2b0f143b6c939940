#include "ValidationError.h"

namespace toucanshed {

std::string
FormatValidationErrors(const std::vector<ValidationError>& aComplaints)
{
  std::string text;
  for (const ValidationError& complaint : aComplaints) {
    text += complaint.path + ": given " + complaint.given + ", allowed " +
            complaint.allowed + "\n";
  }
  return text;
}

} // namespace toucanshed
