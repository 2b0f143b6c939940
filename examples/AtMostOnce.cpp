/** \file
 * Ensures that of two processes at most one runs a call, using only the
 * coordination library: no daemon, no socket, and a vector as the log.
 */
#include "coord/ClaimCoordinator.h"

#include <iostream>
#include <vector>

using namespace toucanshed; // NOLINT: keeps the example short

namespace {

/** Does in memory what the log does: all nodes apply all records in one order.
 */
void
Exchange(std::vector<ClaimCoordinator*> aNodes,
         std::vector<records::Batch>& aLog,
         std::size_t& aRead)
{
  for (ClaimCoordinator* node : aNodes) {
    while (const auto batch = node->Queue().NextToSend()) {
      aLog.push_back(*batch);
      node->Queue().MarkCommitted(batch->sequence());
    }
  }
  for (; aRead < aLog.size(); ++aRead) {
    for (ClaimCoordinator* node : aNodes) {
      node->Apply(aRead + 1, aLog[aRead]);
    }
  }
}

} // namespace

int
main()
{
  const TimePoint now{ 1700000000000 };
  const IdempotencyKey key{ "team/service/1700000000-booking-7" };
  const Fingerprint body{ 42 };
  ClaimCoordinator left(WriterId{ "left/1" }, Millis(3600000));
  ClaimCoordinator right(WriterId{ "right/1" }, Millis(3600000));

  // Both get a request with the same key at the same time.
  left.TryClaim(key, body, AttemptId{ "l" }, now);
  right.TryClaim(key, body, AttemptId{ "r" }, now);
  std::vector<records::Batch> log;
  std::size_t read = 0;
  Exchange({ &left, &right }, log, read);

  const bool leftSends = left.Dispatch(AttemptId{ "l" }, now);
  const bool rightSends = right.Dispatch(AttemptId{ "r" }, now);
  std::cout << "left sends: " << leftSends << ", right sends: " << rightSends
            << "\n";

  // The node that sent the call records its outcome. The other node can then
  // return the same response.
  ClaimOutcome outcome;
  outcome.status = 200;
  outcome.body = "booked";
  left.Complete(AttemptId{ "l" }, outcome);
  Exchange({ &left, &right }, log, read);
  std::cout << "right answers: " << right.Table().Find(key)->outcome->body
            << "\n";
  return leftSends && !rightSends ? 0 : 1;
}
