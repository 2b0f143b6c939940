/** \file
 * What the machine lets this process use.
 */
#pragma once

#include "coord/ClientLimits.h"

namespace toucanshed {

/** Of the descriptors that a process may open, those that are kept for files.
 */
constexpr std::size_t kFileDescriptors = 200;

/** Reads the machine's memory, of which kMaxMemoryBytes at most are used, and
 * the process's limit of descriptors. */
MachineLimits
ThisMachine();

} // namespace toucanshed
