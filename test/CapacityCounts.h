/** \file
 * What CapacitySimulation counts.
 */
#pragma once

#include <array>
#include <cstddef>

namespace toucanshed::test {

constexpr std::size_t kPriorities = 3;

/** Outcomes since the counts were last reset. */
struct CapacityCounts
{
  std::array<double, kPriorities> requests{};
  std::array<double, kPriorities> served{}; // began within their target
  /** Most urgent requests that no engine began while some daemon started less
   * urgent ones. */
  double urgentPassedOver = 0;
  double busiestRequests = 0; // of daemon 0
  double busiestServed = 0;
  std::array<double, 2> teamRequests{}; // of the largest team, of the others
  std::array<double, 2> teamServed{};
  double slotMs = 0;
  double idleMs = 0; // of the slots, while a request waits
  double engineMs = 0;
  double overfullMs = 0; // of the engines

  [[nodiscard]] double Served(std::size_t aPriority) const;
  /** Served fraction of the other daemons minus that of daemon 0. */
  [[nodiscard]] double BusiestLag() const;
  /** Served fraction of the other teams minus that of the largest. */
  [[nodiscard]] double TeamLag() const;
  [[nodiscard]] double Idle() const { return this->idleMs / this->slotMs; }
};

} // namespace toucanshed::test
