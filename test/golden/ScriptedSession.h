/** \file
 * Runs a scripted session of daemons that share one log, and records the
 * resulting state of each daemon in a transcript.
 */
#pragma once

#include "coord/ControlReader.h"
#include "coord/FactSet.h"

#include <map>
#include <string>
#include <vector>

namespace toucanshed::test {

/**
 * A script has one command per line. The transcript contains every line; lines
 * beginning with '#' are comments.
 *
 *   propose D SERVICE BASE MARK [move]   an operator's change at daemon D
 *   step D MOVE STEP | done D MOVE | take-back D MOVE REASON   rollout records
 *   fact D MOVE                          D gets the rollback fact of MOVE
 *   gossip D E                           E receives D's facts
 *   send D ok|lost|late|outage           D appends its queued records
 *   land                                 late appends take effect
 *   read D                               D reads the log to its end
 *   verdict D CHANGE                     the result of a change, as D sees it
 *   replace D                            a new process starts as D
 *   show D SERVICE                       the document in force at D
 */
class ScriptedSession
{
public:
  /** Runs all commands. \return the transcript. */
  std::string Run(const std::string& aScript);

private:
  struct Node
  {
    std::unique_ptr<ControlReader> reader;
    FactSet facts;
    std::size_t appliedRecords = 0;
  };
  using Arguments = std::vector<std::string>;

  Node& NodeOf(const std::string& aName);
  void RunCommand(const Arguments& aArguments);
  void ProposeConfigChange(const Arguments& aArguments);
  void ProposeRolloutRecord(const Arguments& aArguments);
  void SendBatch(const Arguments& aArguments);
  void ReadLog(Node& aNode);
  void ShowService(const Arguments& aArguments);
  void Append(const records::Batch& aBatch);

  std::map<std::string, Node> nodes;
  std::vector<records::Batch> log;
  std::vector<records::Batch> delayedBatches;
  std::uint64_t lastIncarnation = 0;
  std::string transcript;
};

} // namespace toucanshed::test
