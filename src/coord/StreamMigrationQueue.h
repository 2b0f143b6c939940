/** \file
 * The order in which streams migrate from an engine that is being reclaimed.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <map>
#include <string>

namespace toucanshed {

/**
 * The notice of a reclaim is only seconds long, and exporting a stream's state
 * takes time on the engine. Therefore only a few streams migrate at a time,
 * those with the most tokens first: streams for which the notice is too short
 * then lose the least work. The engine continues to generate a stream until its
 * migration starts, and many streams end before that.
 *
 * \code
 * queue.AddOrUpdate(incarnation, request, tokenCount);
 * if (queue.TryStart(incarnation, request)) {
 *   ...migrate...
 *   queue.Remove(incarnation, request);
 * }
 * \endcode
 *
 * Engines are named by their incarnation keys.
 *
 * Thread safety: none; the owner serialises.
 */
class StreamMigrationQueue
{
public:
  /** Maximum number of streams that migrate from one engine at a time. */
  static constexpr std::size_t kMaxConcurrent = 4;

  /** Adds a stream, or updates its number of tokens. */
  void AddOrUpdate(const std::string& aIncarnation,
                   const RequestId& aRequest,
                   std::uint64_t aTokens);
  /** Starts the migration of a stream if fewer than kMaxConcurrent other
   * streams of the engine are migrating or have more tokens. \return whether
   * the stream may migrate; stays true until Remove */
  bool TryStart(const std::string& aIncarnation, const RequestId& aRequest);
  /** Removes a stream that has migrated or ended. */
  void Remove(const std::string& aIncarnation, const RequestId& aRequest);

private:
  struct Stream
  {
    std::uint64_t tokens = 0;
    bool migrating = false;
  };
  using StreamMap = std::map<RequestId, Stream>;

  std::map<std::string, StreamMap> streamsByEngine;
};

} // namespace toucanshed
