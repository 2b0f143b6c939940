/** \file
 * The return type of functions that can fail: a value or an error.
 */
#pragma once

#include <string>
#include <tl/expected.hpp>

namespace toucanshed {

/** The kind of an error, for callers that handle kinds differently. */
enum class ErrorCode
{
  eInvalid,     // the input is wrong; a retry can't succeed
  eUnavailable, // the peer is unreachable or rejects for now
  eTimeout,     // no progress within the time allowed
  eClosed,      // the connection ended before the response did
  eConflict,    // a concurrent change came first
  eProtocol,    // the peer violated the protocol
};

/** An error with a message for humans. */
struct Error
{
  ErrorCode code = ErrorCode::eInvalid;
  std::string message;
};

template<typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error>
Fail(ErrorCode aCode, std::string aMessage)
{
  return tl::unexpected<Error>(Error{ aCode, std::move(aMessage) });
}

} // namespace toucanshed
