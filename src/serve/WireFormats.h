/** \file
 * Hooks that translate between this system's types and the protocols of
 * callers, back ends, store and cloud. An adapter implements them; they make no
 * decisions.
 */
#pragma once

#include "ServingRequest.h"
#include "base/RequestRate.h"
#include "base/Result.h"
#include "base/StorePosition.h"
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
  int priority = 0; // 0 is the most urgent
  std::optional<std::uint64_t> resumeAfter;
};

/** A limit that a back end's response names, or none. */
struct NamedLimit
{
  std::optional<RequestRate> rate;
  bool unreadable = false; // given but unreadable; the known one stays
};

/** What a back end's response states before its body. */
struct BackendResponseHead
{
  AttemptId attempt;
  bool notRun = false; // the back end states that it did not run the request
  bool otherInstance = false; // another back end has this address now
  /** Callers take the status for a promise that the request did not run,
   * whether the back end states that or not. */
  bool promisesNotRun = false;
  bool closesConnection = false; // the connection closes after this response
  bool isStream = false;
  /** The requests it accepts from all daemons together. */
  NamedLimit limit;
  /** The requests for which it may lack room, from all daemons together; it
   * fails if it has to reject more. */
  NamedLimit rejectionLimit;
  bool leaving = false; // the back end accepts no more requests from anyone
  /** How long the back end accepts no request from this daemon; nothing when it
   * does not say. */
  std::optional<Millis> rest;
  bool unreadableRest = false; // given but unreadable
};

/** The callers' protocol. */
struct CallerFormat
{
  /** Reads a request; the error's message describes to the caller what is
   * wrong. */
  std::function<Result<IncomingRequest>(const HttpRequest&)> read;
  /** The request's attempt id; empty when the fields have none, or several. */
  std::function<AttemptId(const http::fields&)> attemptOf;
  /** Adds the protocol's fields to a response of the daemon itself. */
  std::function<void(const AttemptId&, HttpResponse&)> completeLocalResponse;
};

/** The back ends' protocol. */
struct BackendFormat
{
  /** Writes the head of the request to a back end. The body is the incoming
   * request's, and is not copied. */
  std::function<HttpRequest(const IncomingRequest&, const SendContext&)> write;
  std::function<BackendResponseHead(unsigned aStatus, const http::fields&)>
    read;
  /** The head to forward to the caller, without what concerns only the
   * connection to the back end. */
  std::function<HttpResponse(unsigned aStatus, const http::fields&)>
    forwardHead;
};

/** A record of a keyed topic. */
struct KeyedRecord
{
  std::string key;
  std::optional<std::string> value; // nothing: the key is removed
  StorePosition position;
};

/** A page of a topic: its records and the position to continue from. */
struct TopicPage
{
  std::vector<KeyedRecord> records;
  StorePosition next;
  bool more = false;
};

/** A page of a topic whose records have no keys. */
struct LogPage
{
  std::vector<std::string> records;
  StorePosition first; // position of records[0]
  StorePosition end;
};

/** The store's topics. */
enum class StoreTopic
{
  eOperator,
  eBackends,
  eStatus,
  eMembers, // the daemons' addresses; this system's own topic
  eDuties,  // duty claims and holders' decisions; this system's own
  eBlocked, // what crashes back ends; this system's own
  eEra,     // when the store's present era began; this system's own
};

/** The store's protocol. The caller of these hooks sends the requests and
 * awaits the responses. Positions from a response are of the era that it
 * states. */
struct StoreFormat
{
  /** The era that a response states; nothing when it states none. */
  std::function<std::optional<StoreEra>(const HttpResponse&)> era;
  std::function<HttpRequest(StoreTopic, StorePosition aFrom, Millis aWait)>
    read;
  std::function<HttpRequest(StoreTopic, const std::string& aAfterKey)>
    readLatest;
  /** \param aExpectedEnd append only if the topic ends there. */
  std::function<HttpRequest(StoreTopic,
                            const std::string& aRecord,
                            std::optional<StorePosition> aExpectedEnd)>
    append;
  std::function<std::string(const std::string& aKey, const std::string& aValue)>
    keyedRecord;
  std::function<Result<TopicPage>(const HttpResponse&, StorePosition aFrom)>
    readPage;
  std::function<Result<TopicPage>(const HttpResponse&)> latestPage;
  std::function<Result<LogPage>(const HttpResponse&, StorePosition aFrom)>
    logPage;
  /** The first retained record, from a response that says that the requested
   * ones are dropped; nothing when it does not say. */
  std::function<std::optional<StorePosition>(const HttpResponse&)>
    firstRetained;
  /** The position of the appended record, or where the topic ends if it was not
   * appended because of the condition (eConflict). */
  std::function<Result<StorePosition>(const HttpResponse&)> appendedPosition;
};

/** How a rollout order was decided, as stated by a status record. */
struct RolloutStatusRecord
{
  ServiceId service;
  VersionId target;
  Position order;
  RolloutPhase phase = RolloutPhase::eActive;
};

/** Records in the store that operators, back ends and the platform read or
 * write. */
struct RecordFormat
{
  std::function<Result<Catalog>(const std::string&)> catalog;
  std::function<Result<BackendEntry>(const std::string& aId,
                                     const std::string&)>
    backend;
  std::function<bool(const std::string& aKey)> isCatalogKey;
  std::function<bool(const std::string& aKey)> isRolloutKey;
  /** The failure domain that a record of this key drains; nothing for other
   * keys. The drain is in force while the key has a value. */
  std::function<std::optional<ZoneId>(const std::string& aKey)> drainedZone;
  std::function<Result<RolloutOrder>(const std::string&)> rolloutOrder;
  std::function<std::string(const RolloutOrder&)> rolloutStatusKey;
  std::function<std::string(const RolloutOrder&, RolloutPhase)> rolloutStatus;
  /** Reads a rollout status that this system has written. */
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

/** The cloud's protocol: calls that one daemon makes for all as a duty. */
struct CloudFormat
{
  std::function<HttpRequest(const DaemonId&,
                            FencingToken aFence,
                            std::uint64_t aWindow,
                            const std::map<TeamId, std::uint64_t>&)>
    usage;
  std::function<
    HttpRequest(const DaemonId&, FencingToken aFence, const ScaleOrder&)>
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
