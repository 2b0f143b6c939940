#include "WorkTable.h"

#include "base/Hash.h"

namespace toucanshed {

WorkTable::WorkTable(WriterId aWriter)
  : queue(std::move(aWriter))
{
}

void
WorkTable::Apply(std::uint64_t, const records::Batch& aBatch)
{
  const WriterId writer{ aBatch.writer() };
  if (writer == this->queue.Writer()) {
    this->queue.MarkCommitted(aBatch.sequence());
  }
  if (!this->deduplicator.Accept(writer, aBatch.sequence())) {
    return;
  }
  for (const records::Record& record : aBatch.records()) {
    if (record.has_work_accepted()) {
      this->Accept(record.work_accepted());
    } else if (record.has_work_result()) {
      this->Finish(record.work_result());
    }
  }
}

void
WorkTable::Accept(const records::WorkAccepted& aAccepted)
{
  const WorkId id{ aAccepted.id() };
  if (this->entries.count(id) != 0) {
    return;
  }
  WorkEntry entry;
  entry.id = id;
  entry.service = ServiceId{ aAccepted.service() };
  entry.team = TeamId{ aAccepted.team() };
  entry.body = aAccepted.body();
  this->entries[id] = std::move(entry);
  this->unfinished.insert(id);
}

void
WorkTable::Finish(const records::WorkResult& aResult)
{
  const auto found = this->entries.find(WorkId{ aResult.id() });
  if (found == this->entries.end() || found->second.status) {
    return;
  }
  found->second.status = aResult.status();
  found->second.result = aResult.body();
  found->second.body.clear();
  this->unfinished.erase(found->first);
  this->finished.push_back(found->first);
  if (this->finished.size() > kMaxFinished) {
    this->entries.erase(this->finished.front());
    this->finished.pop_front();
  }
}

const WorkEntry*
WorkTable::Find(const WorkId& aId) const
{
  const auto found = this->entries.find(aId);
  return found == this->entries.end() ? nullptr : &found->second;
}

std::vector<WorkId>
WorkTable::AssignedTo(const std::string& aDaemonId,
                      const std::vector<std::string>& aAlive) const
{
  std::vector<WorkId> assigned;
  for (const WorkId& id : this->unfinished) {
    if (RendezvousOwner(id.value, aAlive) == aDaemonId) {
      assigned.push_back(id);
    }
  }
  return assigned;
}

} // namespace toucanshed
