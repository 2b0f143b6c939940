/** \file
 * Parses the time that an Idempotency-Key carries.
 */
#pragma once

#include "base/Result.h"
#include "base/Types.h"

#include <string_view>

namespace toucanshed {

/**
 * Returns the time at which a key was created. The key is a UUID of version 7
 * (RFC 9562), or seconds since the epoch followed by '-' and any text;
 * otherwise ErrorCode::eInvalid is returned. A key must carry its time because
 * the log retains records for a limited time only: if the age of a key were
 * unknown, a request repeated after its claim was dropped would run a second
 * time.
 *
 * Thread safety: pure function.
 */
Result<TimePoint>
ParseKeyTime(std::string_view aKey);

} // namespace toucanshed
