/** \file
 * An error in a user's document or request: its path, the given value, and what
 * is allowed.
 */
#pragma once

#include <string>
#include <vector>

namespace toucanshed {

struct ValidationError
{
  std::string path;
  std::string given;
  std::string allowed;
};

/** "path: given X, allowed Y", one line per error. */
std::string
FormatValidationErrors(const std::vector<ValidationError>& aErrors);

} // namespace toucanshed
