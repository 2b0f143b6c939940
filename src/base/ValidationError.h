/** \file
 * A user's mistake in a document or request: where, what was given, and what
 * would have been right.
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

/** "path: given X, allowed Y", one line a complaint. */
std::string
FormatValidationErrors(const std::vector<ValidationError>& aComplaints);

} // namespace toucanshed
