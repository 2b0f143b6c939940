/** \file
 * Reads one HTTP request from a client within the limits of a message and of
 * the process.
 */
#pragma once

#include "ClientGuard.h"
#include "MessageFields.h"
#include "ReadTimeout.h"
#include "Task.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <tl/expected.hpp>

namespace toucanshed {

struct HttpLimits;

/** A client's connection and what was read ahead from it. */
struct ClientConnection
{
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::unique_ptr<ClientPlace> place;
};

/** Why a request was not read to its end. */
struct ReadFailure
{
  /** What is wrong with it, or with the connection. */
  boost::system::error_code error;
  /** The process has no room for it; error is not set. */
  bool noRoom = false;
  /** Its fields, if its head was complete. */
  http::fields fields;
};

/**
 * Thread safety: none; belongs to the connection's worker. The connection must
 * outlive it.
 */
class RequestReader
{
public:
  RequestReader(ClientConnection& aConnection, const HttpLimits& aLimits);
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /** Reads a request, of which at least a byte has arrived; its time runs from
   * the construction of this. What is held for it is held until Release.
   * Precondition: called once. */
  Task<tl::expected<HttpRequest, ReadFailure>> Read();

  /** Releases what is held for a connection's request. */
  static void Release(ClientConnection& aConnection);

private:
  using Parser = MessageParser<true>;

  Task<boost::system::error_code> ReadHead();
  Task<boost::system::error_code> ReadBody();
  Task<boost::system::error_code> ReadSome();
  /** Allocates what the next read may add to a body without a length. \return
   * whether there is room */
  Task<bool> GrowBody();
  /** What is allocated for the request, with aExtraBytes more of a body. */
  [[nodiscard]] std::size_t AllocatedBytes(std::size_t aExtraBytes) const;
  /** Holds that. \return whether there is room */
  [[nodiscard]] bool TryHold(std::size_t aExtraBytes);
  /** Holds it, after others were closed for it. */
  Task<bool> MakeRoom(std::size_t aExtraBytes);
  ReadFailure Fail(boost::system::error_code aError);

  ClientConnection& connection;
  const HttpLimits& limits;
  ReadTimeout timeout;
  Parser parser;
  std::size_t headBytes = 0; // of the head, as far as it was read
  bool noRoom = false;
};

} // namespace toucanshed
