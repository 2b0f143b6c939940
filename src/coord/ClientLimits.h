/** \file
 * What one process may hold for its clients, all of them together.
 */
#pragma once

#include <cstddef>

namespace toucanshed {

/** What a process may use of its machine. */
struct MachineLimits
{
  std::size_t memoryBytes = 0;
  std::size_t descriptors = 0; // for sockets and pipes
};

/** Bounds of sums over all clients, ports and calls. */
struct ClientLimits
{
  std::size_t requestBytes = 0;  // bytes read ahead, heads, bodies, requests
  std::size_t responseBytes = 0; // responses of back ends, for clients
  std::size_t fetchBytes = 0;    // responses that the process itself uses
  std::size_t connections = 0;   // from clients
  std::size_t calls = 0;         // connections to other processes

  /** The bounds for a machine. The rest of its memory is for the process
   * itself. */
  static ClientLimits Of(const MachineLimits& aMachine);
};

} // namespace toucanshed
