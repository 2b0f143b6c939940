#include "coord/SuspectTable.h"

#include <catch2/catch.hpp>

namespace toucanshed::test {

TEST_CASE("two suspects do not run isolated on one engine")
{
  // Two daemons keep the same engine free at the same moment, each for its own
  // suspect. Run side by side, the guilty one would take the other with it.
  FactSet facts;
  const std::string life = "engine-1/7";
  const Fingerprint one{ 11 };
  const Fingerprint two{ 22 };
  CHECK(SuspectTable::HasIsolationPriority(facts, one, life));
  facts.Add(SuspectTable::IsolationFact(one, life, TimePoint{ 9 }),
            TimePoint{ 0 });
  facts.Add(SuspectTable::IsolationFact(two, life, TimePoint{ 9 }),
            TimePoint{ 0 });
  CHECK(SuspectTable::HasIsolationPriority(facts, one, life));
  CHECK_FALSE(SuspectTable::HasIsolationPriority(facts, two, life));
  CHECK(SuspectTable::HasIsolationPriority(facts, two, "engine-2/7"));
}

} // namespace toucanshed::test
