#include "coord/SuspectTable.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

TEST_CASE("two suspects do not run isolated on one engine")
{
  // Two daemons reserve the same engine at the same time, each for its own
  // suspect. If both ran there, the one that crashes the engine would fail the
  // other too.
  FactSet facts;
  const std::string incarnation = "engine-1/7";
  const Fingerprint one{ 11 };
  const Fingerprint two{ 22 };
  CHECK(SuspectTable::HasIsolationPriority(facts, one, incarnation));
  facts.Add(SuspectTable::IsolationFact(one, incarnation, TimePoint{ 9 }),
            TimePoint{ 0 });
  facts.Add(SuspectTable::IsolationFact(two, incarnation, TimePoint{ 9 }),
            TimePoint{ 0 });
  CHECK(SuspectTable::HasIsolationPriority(facts, one, incarnation));
  CHECK_FALSE(SuspectTable::HasIsolationPriority(facts, two, incarnation));
  CHECK(SuspectTable::HasIsolationPriority(facts, two, "engine-2/7"));
}

} // namespace toucanshed::test
