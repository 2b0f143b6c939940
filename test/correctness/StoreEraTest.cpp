#include "base/Random.h"
#include "base/StorePosition.h"
#include "coord/TopicFreshness.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace toucanshed::test {
namespace {

constexpr std::size_t kSizes[] = { 7, 69, 330 };
constexpr Millis kInForce{ 2000 }; // a version, after it was written
constexpr Millis kReportInterval{ 800 };
constexpr Millis kReaderInterval{ 50 };
constexpr Millis kPollInterval{ 100 };
constexpr Millis kMaxAge{ 1300 };
constexpr std::uint64_t kMaxMessageDelayMs = 300;
constexpr std::uint64_t kLossOneIn = 20;

/** Daemons of which the first reads the operators' topic for all, while the
 * store goes back to copies. */
class ConfigurationSimulation
{
public:
  explicit ConfigurationSimulation(std::size_t aDaemons)
    : daemons(aDaemons)
  {
    for (Daemon& daemon : this->daemons) {
      daemon.pollAt = this->now + Millis(this->random.NextBelow(100));
    }
  }

  void Write()
  {
    this->written.push_back(++this->version);
    this->due.emplace(this->now + kInForce, this->version);
  }
  void TakeCopy() { this->copy = this->written; }
  void Restore()
  {
    this->written = this->copy;
    ++this->era.value;
  }
  void Run(Millis aDuration)
  {
    const TimePoint end = this->now + aDuration;
    while (this->now < end) {
      this->now = this->now + Millis(1);
      this->Deliver();
      for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        if (this->daemons[i].pollAt <= this->now) {
          this->Poll(i);
        }
      }
      this->CheckDue();
    }
  }
  /** Daemons that had not a version in time, over all versions. */
  [[nodiscard]] std::size_t Late() const { return this->late; }
  [[nodiscard]] std::size_t Reads() const { return this->reads; }

private:
  struct Daemon
  {
    StorePosition end;
    std::uint64_t version = 0;
    TopicFreshness freshness;
    TimePoint pollAt;
    TimePoint reportedAt;
  };
  struct Report
  {
    std::size_t to = 0;
    StorePosition end;
    TimePoint asOf;
  };

  void Read(Daemon& aDaemon)
  {
    ++this->reads;
    aDaemon.end = StorePosition{ this->written.size(), this->era };
    if (!this->written.empty()) {
      aDaemon.version = std::max(aDaemon.version, this->written.back());
    }
    aDaemon.freshness.RecordLocalRead(this->now);
  }
  void Poll(std::size_t aDaemon)
  {
    Daemon& daemon = this->daemons[aDaemon];
    if (aDaemon != 0) {
      daemon.pollAt = this->now + kPollInterval;
      if (daemon.freshness.NeedsRead(this->now, kMaxAge)) {
        this->Read(daemon);
      }
      return;
    }
    daemon.pollAt = this->now + kReaderInterval;
    const StorePosition before = daemon.end;
    this->Read(daemon);
    --this->reads; // a call that waits for changes
    if (daemon.end == before &&
        this->now - daemon.reportedAt < kReportInterval) {
      return;
    }
    daemon.reportedAt = this->now;
    for (std::size_t to = 1; to < this->daemons.size(); ++to) {
      if (this->random.NextBelow(kLossOneIn) != 0) {
        this->reports.emplace(
          this->now + Millis(1 + this->random.NextBelow(kMaxMessageDelayMs)),
          Report{ to, daemon.end, this->now });
      }
    }
  }
  void Deliver()
  {
    while (!this->reports.empty() &&
           this->reports.begin()->first <= this->now) {
      const Report report = this->reports.begin()->second;
      this->reports.erase(this->reports.begin());
      Daemon& daemon = this->daemons[report.to];
      daemon.freshness.RecordPeerRead(report.asOf, daemon.end >= report.end);
    }
  }
  void CheckDue()
  {
    while (!this->due.empty() && this->due.begin()->first <= this->now) {
      const std::uint64_t expected = this->due.begin()->second;
      this->due.erase(this->due.begin());
      for (const Daemon& daemon : this->daemons) {
        this->late += daemon.version < expected ? 1 : 0;
      }
    }
  }

  TimePoint now{ 100000 };
  Random random{ 5 };
  std::vector<Daemon> daemons;
  std::vector<std::uint64_t> written; // versions, by offset
  std::vector<std::uint64_t> copy;
  std::uint64_t version = 0;
  StoreEra era;
  std::multimap<TimePoint, Report> reports;
  std::map<TimePoint, std::uint64_t> due;
  std::size_t late = 0;
  std::size_t reads = 0;
};

} // namespace

// Guards against daemons that take an old position for a later one of another
// history, and miss configurations.
TEST_CASE("configurations are in force in time while the store goes back")
{
  for (const std::size_t daemons : kSizes) {
    ConfigurationSimulation simulation(daemons);
    simulation.Run(Millis(3000));
    for (int round = 0; round < 8; ++round) {
      simulation.TakeCopy();
      for (int change = 0; change < 3 + round; ++change) {
        simulation.Write();
        simulation.Run(Millis(200 + 90 * round));
      }
      simulation.Run(kInForce); // all that is lost was in force
      simulation.Restore();
      simulation.Run(Millis(150 * round));
      for (int change = 0; change < 4; ++change) {
        simulation.Write();
        simulation.Run(Millis(500));
      }
    }
    simulation.Run(Millis(3000));
    INFO(daemons << " daemons");
    CHECK(simulation.Late() == 0);
  }
}

// Guards against a position of a later era that sorts before one of an earlier,
// and against packed ones that sort otherwise.
TEST_CASE("positions are ordered by era, then by offset, packed or not")
{
  const StorePosition positions[] = {
    { 0, StoreEra{ 0 } }, { 7, StoreEra{ 0 } }, { 1U << 30U, StoreEra{ 0 } },
    { 0, StoreEra{ 1 } }, { 3, StoreEra{ 1 } }, { 2, StoreEra{ 2 } },
  };
  for (const StorePosition& left : positions) {
    CHECK(Unpack(Pack(left)) == left);
    for (const StorePosition& right : positions) {
      CHECK((left < right) == (Pack(left) < Pack(right)));
      CHECK((left == right) == (Pack(left) == Pack(right)));
    }
  }
}

} // namespace toucanshed::test
