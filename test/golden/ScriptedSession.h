/** \file
 * Plays a scripted session of daemons around one log and writes down what
 * each of them then holds.
 */
#pragma once

#include "coord/ControlReader.h"
#include "coord/FactSet.h"

#include <map>
#include <string>
#include <vector>

namespace toucanshed::test {

/**
 * One command a line; lines beginning with '#' are copied into the record.
 *
 *   propose D SERVICE BASE MARK [move]   an operator's change at daemon D
 *   step D MOVE STEP | done D MOVE | take-back D MOVE REASON   proposals
 *   fact D MOVE                          D hears that the move is taken back
 *   gossip D E                           E hears D's facts
 *   send D ok|lost|late|outage           D appends what waits
 *   land                                 late appends take effect
 *   read D                               D reads to the end
 *   replace D                            a new process at D
 *   show D SERVICE                       what D has in force
 */
class ScriptedSession
{
public:
  /** Plays all lines. \return the record. */
  std::string Run(const std::string& aScript);

private:
  struct Node
  {
    std::unique_ptr<ControlReader> reader;
    FactSet facts;
    std::size_t appliedRecords = 0;
  };
  using Words = std::vector<std::string>;

  Node& NodeOf(const std::string& aName);
  void RunCommand(const Words& aWords);
  void ProposeConfigChange(const Words& aWords);
  void ProposeRolloutRecord(const Words& aWords);
  void SendBatch(const Words& aWords);
  void ReadLog(Node& aNode);
  void ShowService(const Words& aWords);
  void Append(const records::Batch& aBatch);

  std::map<std::string, Node> nodes;
  std::vector<records::Batch> log;
  std::vector<records::Batch> delayedBatches;
  std::uint64_t lastIncarnation = 0;
  std::string transcript;
};

} // namespace toucanshed::test
