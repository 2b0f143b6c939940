/** \file
 * One thread of the pool, with its own event loop and its own idle connections.
 */
#pragma once

#include "HttpConnectionPool.h"
#include "ResponseBuffer.h"
#include "Task.h"

#include <boost/asio/io_context.hpp>

namespace toucanshed {

/**
 * A connection belongs to the worker that opened it, so sockets and their
 * timers need no strand. Workers share only the tables.
 *
 * Thread safety: Spawn may be called from any thread; everything else belongs
 * to the worker's own thread.
 */
struct Worker
{
  /** Precondition: the guard outlives the worker. */
  explicit Worker(ClientGuard& aClients)
    : connectionPool(context, aClients)
    , responseBuffers{ aClients }
  {
  }

  boost::asio::io_context context{ 1 };
  HttpConnectionPool connectionPool;
  ResponseBufferPool responseBuffers;

  /** Starts a coroutine on this worker. An exception that it throws is a
   * broken invariant and aborts the process. */
  void Spawn(Task<void> aTask);
};

/** Suspends the calling coroutine for aDelay. */
Task<void>
Sleep(std::chrono::milliseconds aDelay);

} // namespace toucanshed
