/** \file
 * The order in which streams leave an engine that is being reclaimed.
 */
#pragma once

#include "base/Types.h"

#include <cstdint>
#include <map>
#include <string>

namespace toucanshed {

/**
 * A notice lasts seconds, and exporting a stream's state takes the engine's
 * time. The streams with the most work sunk into them go first, a few at a
 * time; those that the notice does not last for lose the least. A stream goes
 * on being read until its turn comes, and many end by themselves before.
 *
 * \code
 * turns.Enter(life, request, tokensSoFar);
 * if (turns.MayGo(life, request)) { ...move...; turns.Leave(life, request); }
 * \endcode
 *
 * Thread safety: none; the owner serialises.
 */
class StreamMigrationQueue
{
public:
  /** Streams that move off one engine at the same time. */
  static constexpr std::size_t kMaxConcurrent = 4;

  /** Joins the line, or tells of more tokens. */
  void AddOrUpdate(const std::string& aLife,
                   const RequestId& aRequest,
                   std::uint64_t aTokens);
  /** Whether its turn has come; from then on it holds one of the places. */
  bool TryStart(const std::string& aLife, const RequestId& aRequest);
  /** It has moved or ended. */
  void Remove(const std::string& aLife, const RequestId& aRequest);

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
