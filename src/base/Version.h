/** \file
 * The program's version.
 */
#pragma once

namespace toucanshed {

constexpr const char* kProgramVersion = "0.1.0";

} // namespace toucanshed
