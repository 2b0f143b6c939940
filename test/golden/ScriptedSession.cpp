#include "ScriptedSession.h"

#include "base/Invariant.h"

#include <sstream>

namespace toucanshed::test {

namespace {

constexpr TimePoint kNow{ 1000 };
constexpr TimePoint kLater{ 1000000 };

std::string
RollbackFactKey(const std::string& aMove)
{
  return "taken-back/" + aMove;
}

config::ServiceDocument
DocumentOf(const std::string& aService, std::uint32_t aMark, bool aMove)
{
  config::ServiceDocument document;
  document.set_service(aService);
  document.set_kind(config::MODEL);
  document.set_first_token_target_ms(aMark);
  config::Version* old = document.add_versions();
  old->set_name("v1");
  old->set_share_percent(100);
  document.add_versions()->set_name("v2");
  if (aMove) {
    config::Move* move = document.mutable_move();
    move->set_from("v1");
    move->set_to("v2");
    move->set_deadline_s(300);
    move->set_canary_percent(5);
    move->set_soak_s(30);
    move->set_min_requests(30);
  }
  return document;
}

std::vector<std::string>
SplitWords(const std::string& aLine)
{
  std::istringstream stream(aLine);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
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
ScriptedSession::ProposeConfigChange(const Words& aWords)
{
  records::Record change;
  const bool move = aWords.size() > 5 && aWords[5] == "move";
  records::ConfigChange* config = change.mutable_config();
  config->set_base_revision(std::stoull(aWords[3]));
  config->set_change_id(aWords[1] + "-" + aWords[4]);
  *config->mutable_document() = DocumentOf(
    aWords[2], static_cast<std::uint32_t>(std::stoul(aWords[4])), move);
  this->NodeOf(aWords[1]).reader->Queue().Add(std::move(change));
}

void
ScriptedSession::ProposeRolloutRecord(const Words& aWords)
{
  records::Record proposal;
  const std::uint64_t move = std::stoull(aWords[2]);
  if (aWords[0] == "step") {
    proposal.mutable_move_step()->set_move(move);
    proposal.mutable_move_step()->set_step(
      static_cast<std::uint32_t>(std::stoul(aWords[3])));
  } else {
    proposal.mutable_move_end()->set_move(move);
    proposal.mutable_move_end()->set_taken_back(aWords[0] == "take-back");
    proposal.mutable_move_end()->set_reason(aWords.size() > 3 ? aWords[3]
                                                              : "soaked");
  }
  this->NodeOf(aWords[1]).reader->Queue().Add(std::move(proposal));
}

void
ScriptedSession::SendBatch(const Words& aWords)
{
  AppendQueue& queue = this->NodeOf(aWords[1]).reader->Queue();
  const auto batch = queue.NextToSend();
  if (!batch) {
    this->transcript += "  nothing to send\n";
    return;
  }
  const std::string& fate = aWords[2];
  if (fate == "ok" || fate == "lost") {
    this->Append(*batch);
  } else if (fate == "late") {
    this->delayedBatches.push_back(*batch);
  }
  if (fate == "ok") {
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
ScriptedSession::ShowService(const Words& aWords)
{
  Node& node = this->NodeOf(aWords[1]);
  const ControlTable& table = node.reader->Table();
  const ServiceEntry* entry = table.Find(ServiceId{ aWords[2] });
  if (entry == nullptr) {
    this->transcript += "  nothing in force\n";
    return;
  }
  const auto found = table.RolloutsByRevision().find(entry->revision);
  const RolloutState* move =
    found == table.RolloutsByRevision().end() ? nullptr : &found->second;
  const bool back =
    move != nullptr &&
    node.facts.Contains(RollbackFactKey(std::to_string(move->rollout.value)));
  this->transcript +=
    "  revision " + std::to_string(entry->revision.value) + ", target " +
    std::to_string(entry->document.first_token_target_ms()) + " ms, shares";
  for (const VersionShare& share : EffectiveShares(*entry, move, back)) {
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
ScriptedSession::RunCommand(const Words& aWords)
{
  const std::string& command = aWords[0];
  if (command == "propose") {
    this->ProposeConfigChange(aWords);
  } else if (command == "step" || command == "done" || command == "take-back") {
    this->ProposeRolloutRecord(aWords);
  } else if (command == "fact") {
    this->NodeOf(aWords[1]).facts.Add({ RollbackFactKey(aWords[2]), kLater },
                                      kNow);
  } else if (command == "gossip") {
    for (const FactEntry& fact : this->NodeOf(aWords[1]).facts.All()) {
      this->NodeOf(aWords[2]).facts.Add(fact, kNow);
    }
  } else if (command == "send") {
    this->SendBatch(aWords);
  } else if (command == "land") {
    for (const records::Batch& batch : this->delayedBatches) {
      this->Append(batch);
    }
    this->delayedBatches.clear();
  } else if (command == "read") {
    this->ReadLog(this->NodeOf(aWords[1]));
  } else if (command == "verdict") {
    const auto verdict =
      this->NodeOf(aWords[1]).reader->Table().ResultOf(aWords[2]);
    this->transcript += !verdict ? "  not known\n"
                        : verdict->accepted
                          ? "  accepted\n"
                          : "  refused: " + verdict->reason + "\n";
  } else if (command == "replace") {
    this->nodes.erase(aWords[1]);
  } else {
    Invariant(command == "show", "a session's command is known");
    this->ShowService(aWords);
  }
}

std::string
ScriptedSession::Run(const std::string& aScript)
{
  std::istringstream script(aScript);
  for (std::string line; std::getline(script, line);) {
    this->transcript += line + "\n";
    const Words words = SplitWords(line);
    if (!words.empty() && words[0] != "#") {
      this->RunCommand(words);
    }
  }
  return this->transcript;
}

} // namespace toucanshed::test
