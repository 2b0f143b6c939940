#include "ValidationError.h"

namespace toucanshed {

std::string
FormatValidationErrors(const std::vector<ValidationError>& aErrors)
{
  std::string text;
  for (const ValidationError& error : aErrors) {
    text += error.path + ": given " + error.given + ", allowed " +
            error.allowed + "\n";
  }
  return text;
}

} // namespace toucanshed
