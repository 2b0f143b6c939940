/** \file
 * Hooks that translate between this system's types and the protocols of
 * callers, back ends, store and cloud. An adapter fills them; they hold no
 * decisions.
 */
#pragma once

#include "ServingRequest.h"
#include "base/RequestRate.h"
#include "base/Result.h"
#include "coord/BackendTable.h"
#include "coord/RolloutOrder.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed {

/** What one send adds to the caller's request. */
struct SendContext
{
  InstanceId backend;
  std::optional<Millis> timeLeft;
  TeamId team;      // empty on open routes
  int priority = 0; // 0 goes first
  std::optional<std::uint64_t> resumeAfter;
};

/** What a back end's answer says before its body. */
struct BackendResponseHead
{
  AttemptId attempt;
  bool notRun = false;           // it says that it did not run the request
  bool otherInstance = false;    // another back end has the address now
  bool closesConnection = false; // it closes the connection after this
  bool isStream = false;
  /** What it takes from all daemons together; nothing when it is not in need.
   */
  std::optional<RequestRate> limit;
  bool unreadableLimit = false; // it names one: what was known of it holds
};

/** The callers' protocol. */
struct CallerFormat
{
  /** Reads a request; the error's message tells the caller what is wrong. */
  std::function<Result<IncomingRequest>(const HttpRequest&)> read;
  /** Adds to an answer of this system's own what the protocol asks for. */
  std::function<void(const AttemptId&, HttpResponse&)> completeLocalResponse;
};

/** The back ends' protocol. */
struct BackendFormat
{
  std::function<HttpRequest(const IncomingRequest&, const SendContext&)> write;
  std::function<BackendResponseHead(unsigned aStatus, const http::fields&)>
    read;
  /** The head to pass to the caller: all that does not concern only the
   * connection to the back end. */
  std::function<HttpResponse(unsigned aStatus, const http::fields&)>
    forwardHead;
};

/** A record of a keyed topic. */
struct KeyedRecord
{
  std::string key;
  std::optional<std::string> value; // nothing: the key is dropped
  Position position;
};

/** Part of a topic: its records and where to go on. */
struct TopicPage
{
  std::vector<KeyedRecord> records;
  Position next;
  bool more = false;
};

/** Plain records of a topic. */
struct LogPage
{
  std::vector<std::string> records;
  Position first; // position of records[0]
  Position end;
};

/** Which of the store's topics. */
enum class StoreTopic
{
  eOperator,
  eBackends,
  eStatus,
  eMembers, // the daemons' addresses; ours
  eDuties,  // elections and what holders decided; ours
};

/** The store's protocol. Requests are sent and answers awaited by the caller
 * of these hooks. */
struct StoreFormat
{
  std::function<HttpRequest(StoreTopic, Position aFrom, Millis aWait)> read;
  std::function<HttpRequest(StoreTopic, const std::string& aAfterKey)>
    readLatest;
  /** \param aAt append only if the topic ends there. */
  std::function<HttpRequest(StoreTopic,
                            const std::string& aRecord,
                            std::optional<Position>)>
    append;
  std::function<std::string(const std::string& aKey, const std::string& aValue)>
    keyedRecord;
  std::function<Result<TopicPage>(const HttpResponse&, Position aFrom)>
    readPage;
  std::function<Result<TopicPage>(const HttpResponse&)> latestPage;
  std::function<Result<LogPage>(const HttpResponse&, Position aFrom)> logPage;
  /** The first record that is left, from an answer that says that those asked
   * for are gone; nothing when it does not say. */
  std::function<std::optional<Position>(const HttpResponse&)> firstRetained;
  /** The position that a record got, or where the topic ends if it was not
   * appended because of the condition (eConflict). */
  std::function<Result<Position>(const HttpResponse&)> appendedPosition;
};

/** How an order for a move was decided, as a status record tells. */
struct RolloutStatusRecord
{
  ServiceId service;
  Position order;
  RolloutPhase stage = RolloutPhase::eActive;
};

/** Records of the store that others write. */
struct RecordFormat
{
  std::function<Result<Catalog>(const std::string&)> catalog;
  std::function<Result<BackendEntry>(const std::string& aId,
                                     const std::string&)>
    backend;
  std::function<bool(const std::string& aKey)> isCatalogKey;
  std::function<bool(const std::string& aKey)> isRolloutKey;
  std::function<Result<RolloutOrder>(const std::string&)> rolloutOrder;
  std::function<std::string(const RolloutOrder&)> rolloutStatusKey;
  std::function<std::string(const RolloutOrder&, RolloutPhase)> rolloutStatus;
  /** Reads a status that this system has written. */
  std::function<Result<RolloutStatusRecord>(const std::string&)>
    readRolloutStatus;
};

/** An order for engines in one failure domain. */
struct ScaleOrder
{
  ServiceId service;
  ZoneId zone;
  unsigned desired = 0;
  bool reclaimable = false;

  auto operator<=>(const ScaleOrder&) const = default;
};

/** The cloud's protocol: calls that are the duty of one daemon. */
struct CloudFormat
{
  std::function<HttpRequest(const DaemonId&,
                            Position aFence,
                            std::uint64_t aWindow,
                            const std::map<TeamId, std::uint64_t>&)>
    usage;
  std::function<
    HttpRequest(const DaemonId&, Position aFence, const ScaleOrder&)>
    scale;
};

struct WireFormats
{
  CallerFormat callers;
  BackendFormat backends;
  StoreFormat store;
  RecordFormat records;
  CloudFormat cloud;
};

} // namespace toucanshed
