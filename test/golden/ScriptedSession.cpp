#include "ScriptedSession.h"

#include "base/Invariant.h"

#include <sstream>

namespace toucanshed::test {

namespace {

constexpr TimePoint kNow{ 1000 };
constexpr TimePoint kExpiry{ 1000000 };

std::string
RollbackFactKey(const std::string& aRollout)
{
  return "taken-back/" + aRollout;
}

config::ServiceDocument
DocumentOf(const std::string& aService, std::uint32_t aMark, bool aRollout)
{
  config::ServiceDocument document;
  document.set_service(aService);
  document.set_kind(config::MODEL);
  document.set_first_token_target_ms(aMark);
  config::Version* old = document.add_versions();
  old->set_name("v1");
  old->set_share_percent(100);
  document.add_versions()->set_name("v2");
  if (aRollout) {
    config::Move* rollout = document.mutable_move();
    rollout->set_from("v1");
    rollout->set_to("v2");
    rollout->set_deadline_s(300);
    rollout->set_canary_percent(5);
    rollout->set_soak_s(30);
    rollout->set_min_requests(30);
  }
  return document;
}

std::vector<std::string>
SplitArguments(const std::string& aLine)
{
  std::istringstream stream(aLine);
  std::vector<std::string> arguments;
  for (std::string argument; stream >> argument;) {
    arguments.push_back(argument);
  }
  return arguments;
}

} // namespace

ScriptedSession::Node&
ScriptedSession::NodeOf(const std::string& aName)
{
  Node& node = this->nodes[aName];
  if (!node.reader) {
    node.reader = std::make_unique<ControlReader>(
      WriterId{ aName + "/" + std::to_string(++this->lastIncarnation) });
  }
  return node;
}

void
ScriptedSession::Append(const records::Batch& aBatch)
{
  this->log.push_back(aBatch);
  this->transcript += "  offset " + std::to_string(this->log.size()) +
                      " is written by " + aBatch.writer() + "\n";
}

void
ScriptedSession::ProposeConfigChange(const Arguments& aArguments)
{
  records::Record change;
  const bool rollout = aArguments.size() > 5 && aArguments[5] == "move";
  records::ConfigChange* config = change.mutable_config();
  config->set_base_revision(std::stoull(aArguments[3]));
  config->set_change_id(aArguments[1] + "-" + aArguments[4]);
  *config->mutable_document() =
    DocumentOf(aArguments[2],
               static_cast<std::uint32_t>(std::stoul(aArguments[4])),
               rollout);
  this->NodeOf(aArguments[1]).reader->Queue().Add(std::move(change));
}

void
ScriptedSession::ProposeRolloutRecord(const Arguments& aArguments)
{
  records::Record proposal;
  const std::uint64_t rollout = std::stoull(aArguments[2]);
  if (aArguments[0] == "step") {
    proposal.mutable_move_step()->set_move(rollout);
    proposal.mutable_move_step()->set_step(
      static_cast<std::uint32_t>(std::stoul(aArguments[3])));
  } else {
    proposal.mutable_move_end()->set_move(rollout);
    proposal.mutable_move_end()->set_taken_back(aArguments[0] == "take-back");
    proposal.mutable_move_end()->set_reason(
      aArguments.size() > 3 ? aArguments[3] : "soaked");
  }
  this->NodeOf(aArguments[1]).reader->Queue().Add(std::move(proposal));
}

void
ScriptedSession::SendBatch(const Arguments& aArguments)
{
  AppendQueue& queue = this->NodeOf(aArguments[1]).reader->Queue();
  const auto batch = queue.NextToSend();
  if (!batch) {
    this->transcript += "  nothing to send\n";
    return;
  }
  const std::string& appendResult = aArguments[2];
  if (appendResult == "ok" || appendResult == "lost") {
    this->Append(*batch);
  } else if (appendResult == "late") {
    this->delayedBatches.push_back(*batch);
  }
  if (appendResult == "ok") {
    queue.MarkCommitted(batch->sequence());
  } else {
    queue.AllowResend();
  }
}

void
ScriptedSession::ReadLog(Node& aNode)
{
  for (; aNode.appliedRecords < this->log.size(); ++aNode.appliedRecords) {
    aNode.reader->Apply(aNode.appliedRecords + 1,
                        this->log[aNode.appliedRecords]);
  }
}

void
ScriptedSession::ShowService(const Arguments& aArguments)
{
  Node& node = this->NodeOf(aArguments[1]);
  const ControlTable& table = node.reader->Table();
  const ServiceEntry* entry = table.Find(ServiceId{ aArguments[2] });
  if (entry == nullptr) {
    this->transcript += "  nothing in force\n";
    return;
  }
  const auto found = table.RolloutsByRevision().find(entry->revision);
  const RolloutState* rollout =
    found == table.RolloutsByRevision().end() ? nullptr : &found->second;
  const bool rolledBack =
    rollout != nullptr && node.facts.Contains(RollbackFactKey(
                            std::to_string(rollout->rollout.value)));
  this->transcript +=
    "  revision " + std::to_string(entry->revision.value) + ", target " +
    std::to_string(entry->document.first_token_target_ms()) + " ms, shares";
  for (const VersionShare& share :
       EffectiveShares(*entry, rollout, rolledBack)) {
    this->transcript +=
      " " + share.version.value + "=" + std::to_string(share.percent);
  }
  this->transcript += "\n";
  for (const auto& [position, state] : table.RolloutsByRevision()) {
    this->transcript +=
      "  move " + std::to_string(position.value) + " at step " +
      std::to_string(state.step) + " " + ToText(state.status) +
      (state.reason.empty() ? "" : " (" + state.reason + ")") + "\n";
  }
}

void
ScriptedSession::RunCommand(const Arguments& aArguments)
{
  const std::string& command = aArguments[0];
  if (command == "propose") {
    this->ProposeConfigChange(aArguments);
  } else if (command == "step" || command == "done" || command == "take-back") {
    this->ProposeRolloutRecord(aArguments);
  } else if (command == "fact") {
    this->NodeOf(aArguments[1])
      .facts.Add({ RollbackFactKey(aArguments[2]), kExpiry }, kNow);
  } else if (command == "gossip") {
    for (const FactEntry& fact : this->NodeOf(aArguments[1]).facts.All()) {
      this->NodeOf(aArguments[2]).facts.Add(fact, kNow);
    }
  } else if (command == "send") {
    this->SendBatch(aArguments);
  } else if (command == "land") {
    for (const records::Batch& batch : this->delayedBatches) {
      this->Append(batch);
    }
    this->delayedBatches.clear();
  } else if (command == "read") {
    this->ReadLog(this->NodeOf(aArguments[1]));
  } else if (command == "verdict") {
    const auto verdict =
      this->NodeOf(aArguments[1]).reader->Table().ResultOf(aArguments[2]);
    this->transcript += !verdict ? "  not known\n"
                        : verdict->accepted
                          ? "  accepted\n"
                          : "  refused: " + verdict->reason + "\n";
  } else if (command == "replace") {
    this->nodes.erase(aArguments[1]);
  } else {
    Invariant(command == "show", "a session's command is known");
    this->ShowService(aArguments);
  }
}

std::string
ScriptedSession::Run(const std::string& aScript)
{
  std::istringstream script(aScript);
  for (std::string line; std::getline(script, line);) {
    this->transcript += line + "\n";
    const Arguments arguments = SplitArguments(line);
    if (!arguments.empty() && arguments[0] != "#") {
      this->RunCommand(arguments);
    }
  }
  return this->transcript;
}

} // namespace toucanshed::test
