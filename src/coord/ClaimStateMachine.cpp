#include "ClaimStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace toucanshed {

namespace Internal {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct ReadBackFirst
{};
struct ReadBackNotFirst
{};
struct DispatchRequested
{};
struct AbandonRequested
{};
struct ResponseReceived
{};
struct ResponseLost
{};
struct NothingSent
{};

struct StateMachineDefinition
  : msm::front::state_machine_def<StateMachineDefinition>
{
  struct Claiming : msm::front::state<>
  {};
  struct Owned : msm::front::state<>
  {};
  struct HeldByOther : msm::front::state<>
  {};
  struct Running : msm::front::state<>
  {};
  struct Abandoned : msm::front::state<>
  {};
  struct Completed : msm::front::state<>
  {};
  struct Unclear : msm::front::state<>
  {};
  using initial_state = Claiming;

  // DispatchRequested leaves Owned. Owned is entered from Claiming only, and no
  // row enters Claiming, so there can be no second dispatch.
  struct transition_table // NOLINT: the name is the library's
    : boost::mpl::vector<
        Row<Claiming, ReadBackFirst, Owned, none, none>,
        Row<Claiming, ReadBackNotFirst, HeldByOther, none, none>,
        Row<Claiming, AbandonRequested, Abandoned, none, none>,
        Row<Owned, AbandonRequested, Abandoned, none, none>,
        Row<Owned, DispatchRequested, Running, none, none>,
        Row<Running, ResponseReceived, Completed, none, none>,
        Row<Running, ResponseLost, Unclear, none, none>,
        Row<Running, NothingSent, Abandoned, none, none>>
  {};

  template<typename Machine, typename AnyEvent>
  void no_transition(const AnyEvent&, Machine&, int)
  {
    // An illegal transition changes nothing; process_event reports it to the
    // caller.
  }
};

using MsmStateMachine = msm::back::state_machine<StateMachineDefinition>;

} // namespace Internal

struct ClaimStateMachine::Impl
{
  Internal::MsmStateMachine machine;

  template<typename AnyEvent>
  bool ProcessEvent(const AnyEvent& aEvent)
  {
    return this->machine.process_event(aEvent) ==
           boost::msm::back::HANDLED_TRUE;
  }
};

ClaimStateMachine::ClaimStateMachine()
  : impl(std::make_unique<Impl>())
{
  this->impl->machine.start();
}
ClaimStateMachine::~ClaimStateMachine() = default;
ClaimStateMachine::ClaimStateMachine(ClaimStateMachine&&) noexcept = default;
ClaimStateMachine&
ClaimStateMachine::operator=(ClaimStateMachine&&) noexcept = default;

bool
ClaimStateMachine::ReadBack(bool aFirst)
{
  return aFirst ? this->impl->ProcessEvent(Internal::ReadBackFirst{})
                : this->impl->ProcessEvent(Internal::ReadBackNotFirst{});
}

bool
ClaimStateMachine::Dispatch()
{
  return this->impl->ProcessEvent(Internal::DispatchRequested{});
}

bool
ClaimStateMachine::Abandon()
{
  return this->impl->ProcessEvent(Internal::AbandonRequested{});
}

bool
ClaimStateMachine::Complete()
{
  return this->impl->ProcessEvent(Internal::ResponseReceived{});
}

bool
ClaimStateMachine::MarkUnclear()
{
  return this->impl->ProcessEvent(Internal::ResponseLost{});
}

bool
ClaimStateMachine::AbandonUnsent()
{
  return this->impl->ProcessEvent(Internal::NothingSent{});
}

ClaimPhase
ClaimStateMachine::Phase() const
{
  using Internal::StateMachineDefinition;
  const auto& machine = this->impl->machine;
  const int current = machine.current_state()[0];
  const auto isCurrent = [&](auto aState) {
    using State = decltype(aState);
    using Stt = Internal::MsmStateMachine::stt;
    return current == boost::msm::back::get_state_id<Stt, State>::value;
  };
  if (isCurrent(StateMachineDefinition::Claiming{})) {
    return ClaimPhase::eClaiming;
  }
  if (isCurrent(StateMachineDefinition::Owned{})) {
    return ClaimPhase::eOwned;
  }
  if (isCurrent(StateMachineDefinition::HeldByOther{})) {
    return ClaimPhase::eHeldByOther;
  }
  if (isCurrent(StateMachineDefinition::Running{})) {
    return ClaimPhase::eRunning;
  }
  if (isCurrent(StateMachineDefinition::Abandoned{})) {
    return ClaimPhase::eAbandoned;
  }
  return isCurrent(StateMachineDefinition::Completed{}) ? ClaimPhase::eCompleted
                                                        : ClaimPhase::eUnclear;
}

} // namespace toucanshed
