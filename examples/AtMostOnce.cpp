/** \file
 * Runs a call at most once between two processes, with the coordination
 * library alone: no daemon, no socket, a vector as the log.
 */
#include "coord/ClaimCoordinator.h"

#include <iostream>
#include <vector>

using namespace toucanshed; // NOLINT: an example reads better without prefixes

namespace {

/** What a real log does, here in memory: one order for everybody. */
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

  // Both are asked for the same key at the same time.
  left.TryClaim(key, body, AttemptId{ "l" }, now);
  right.TryClaim(key, body, AttemptId{ "r" }, now);
  std::vector<records::Batch> log;
  std::size_t read = 0;
  Exchange({ &left, &right }, log, read);

  const bool leftSends = left.Dispatch(AttemptId{ "l" }, now);
  const bool rightSends = right.Dispatch(AttemptId{ "r" }, now);
  std::cout << "left sends: " << leftSends << ", right sends: " << rightSends
            << "\n";

  // The one that sent records the answer; the other can give it too.
  ClaimOutcome answer;
  answer.status = 200;
  answer.body = "booked";
  left.Complete(AttemptId{ "l" }, answer);
  Exchange({ &left, &right }, log, read);
  std::cout << "right answers: " << right.Table().Find(key)->outcome->body
            << "\n";
  return leftSends && !rightSends ? 0 : 1;
}
