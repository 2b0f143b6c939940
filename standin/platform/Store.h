/** \file
 * A stand-in for the platform's store: topics in memory that are read and
 * appended over HTTP, with switches that inject failures.
 */
#pragma once

#include "edge/HttpResponder.h"
#include "edge/HttpTypes.h"
#include "edge/Worker.h"

#include <atomic>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanshed::standin {

/** Thread safety: none; belongs to the worker that serves it. */
class PlatformStore
{
public:
  /** Handles one call. */
  Task<void> Handle(const HttpRequest& aRequest, HttpResponder& aResponder);

  /** Appends a keyed record as operators and engines do. Without a value, it
   * deletes the key. */
  void AppendKeyed(const std::string& aTopic,
                   const std::string& aKey,
                   const std::optional<std::string>& aValue);
  /** Appends a record as another daemon does. */
  void AppendRecord(const std::string& aTopic, const std::string& aRecord);
  /** Keeps a copy of all topics, which Restore goes back to. */
  void TakeCopy();
  /** Goes back to the copy: what was written since is gone, its positions are
   * given out again, and a new era begins. */
  void Restore();
  /** Drops a topic's history; the latest record of each key is retained. */
  void DropHistory(const std::string& aTopic);
  [[nodiscard]] std::size_t RecordCount(const std::string& aTopic) const;

  bool down = false;                // every call gets a 503
  bool dropAppendResponses = false; // appends take effect but get no response
  /** Appends get no response and are executed by ExecuteHeldAppends. */
  bool holdAppends = false;
  void ExecuteHeldAppends();
  std::uint64_t era = 0; // stated in each response
  bool statesEra = true;
  std::size_t maxRecordsPerRead = 100000; // per response to a read
  std::size_t maxRecordsPerPage = 500;    // of the latest records
  std::size_t maxBytesPerPage = 1U << 20U;
  /** Responses have bodies without end, as long as the peer reads them. */
  std::atomic<bool> endless{ false };
  /** Each page of the latest records is the first one. */
  bool ignoresAfter = false;
  std::size_t reads = 0;
  std::size_t snapshots = 0; // of the reads, those of the latest records
  std::size_t appends = 0;

private:
  struct Topic
  {
    std::uint64_t firstPosition = 0; // position of records[0]
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> latestByKey;
  };

  void StateEra(HttpResponse& aResponse) const;
  HttpResponse Append(const HttpRequest& aRequest);
  HttpResponse Read(const HttpRequest& aRequest);
  HttpResponse ReadLatest(const HttpRequest& aRequest);
  static std::uint64_t EndOf(const Topic& aTopic);

  std::map<std::string, Topic> topics;
  std::map<std::string, Topic> copy;
  std::vector<HttpRequest> heldAppends;
};

} // namespace toucanshed::standin
