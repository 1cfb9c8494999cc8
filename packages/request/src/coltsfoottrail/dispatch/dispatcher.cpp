#include "coltsfoottrail/dispatch/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {
constexpr milliseconds OverloadRetryAfter{500};
} // namespace

Dispatcher::Dispatcher(DispatcherOptions Limits)
    : Options(std::move(Limits)), Draw(Options.Seed) {}

void Dispatcher::configure(const Pool &Wanted, TimePoint Now, Commands &Out) {
  for (auto &[Key, Known] : Endpoints)
    Known.Current = false;
  for (const EndpointSpec &Spec : Wanted.Endpoints) {
    Endpoint &Known = Endpoints[Spec.Key];
    Known.Spec = Spec;
    Known.Current = true;
  }
  std::erase_if(Endpoints, [](const auto &Entry) {
    return !Entry.second.Current && Entry.second.InFlight == 0;
  });
  pump(Now, Out);
}

void Dispatcher::setShare(std::string_view EndpointKey, std::uint32_t Share,
                          TimePoint Now, Commands &Out) {
  const auto Found = Endpoints.find(EndpointKey);
  if (Found == Endpoints.end())
    return;
  Found->second.Share = Share;
  pump(Now, Out);
}

Ticket Dispatcher::submit(WorkItem Item, TimePoint Now, Commands &Out) {
  const std::size_t Bytes = Item.Bytes;
  const Ticket Which = Requests.insert(Request{std::move(Item), {}});
  if (Waiting.size() >= Options.MaxWaiting ||
      WaitingBytes + Bytes > Options.MaxWaitingBytes) {
    refuse(Which,
           Verdict{RunState::NotRun, Reason::Overloaded, OverloadRetryAfter},
           Out);
    return Which;
  }
  WaitingBytes += Bytes;
  Waiting.push_back(Which);
  pump(Now, Out);
  return Which;
}

void Dispatcher::finished(Ticket Which, const AttemptResult &Result,
                          TimePoint Now, Commands &Out) {
  Request *const Known = Requests.find(Which);
  if (Known == nullptr)
    return;
  leave(Known->SentTo);
  Known->SentTo.clear();
  if (Result.Answered)
    Requests.erase(Which);
  else
    refuse(Which, Verdict{Result.State, Result.Why, std::nullopt}, Out);
  pump(Now, Out);
}

void Dispatcher::cancel(Ticket Which, TimePoint Now, Commands &Out) {
  const std::optional<Request> Gone = Requests.erase(Which);
  if (!Gone)
    return;
  if (!Gone->SentTo.empty())
    leave(Gone->SentTo);
  if (std::erase(Waiting, Which) > 0)
    WaitingBytes -= Gone->Item.Bytes;
  pump(Now, Out);
}

void Dispatcher::observe(const LoadReport & /*Report*/, TimePoint /*Now*/,
                         Commands & /*Out*/) {}

void Dispatcher::advance(TimePoint Now, Commands &Out) {
  std::erase_if(Waiting, [&](Ticket Which) {
    const Request *const Known = Requests.find(Which);
    if (Known->Item.Deadline > Now)
      return false;
    WaitingBytes -= Known->Item.Bytes;
    refuse(Which,
           Verdict{RunState::NotRun, Reason::DeadlinePassed, std::nullopt},
           Out);
    return true;
  });
}

std::optional<TimePoint> Dispatcher::nextWake() const {
  std::optional<TimePoint> Earliest;
  for (const Ticket Which : Waiting) {
    const TimePoint Deadline = Requests.find(Which)->Item.Deadline;
    Earliest = Earliest ? std::min(*Earliest, Deadline) : Deadline;
  }
  return Earliest;
}

std::size_t Dispatcher::waiting() const noexcept { return Waiting.size(); }

Dispatcher::Endpoint *Dispatcher::choose() {
  Endpoint *Best = nullptr;
  for (auto &[Key, Known] : Endpoints)
    if (Known.Current && Known.InFlight < Known.Share &&
        (Best == nullptr || Known.InFlight < Best->InFlight))
      Best = &Known;
  return Best;
}

void Dispatcher::pump(TimePoint /*Now*/, Commands &Out) {
  while (!Waiting.empty()) {
    Endpoint *const To = choose();
    if (To == nullptr)
      return;
    const Ticket Which = Waiting.front();
    Waiting.pop_front();
    WaitingBytes -= Requests.find(Which)->Item.Bytes;
    send(Which, *To, Out);
  }
}

void Dispatcher::send(Ticket Which, Endpoint &To, Commands &Out) {
  ++To.InFlight;
  Requests.find(Which)->SentTo = To.Spec.Key;
  Out.emplace_back(SendCommand{Which, To.Spec.Key});
}

void Dispatcher::refuse(Ticket Which, Verdict Final, Commands &Out) {
  Requests.erase(Which);
  Out.emplace_back(RefuseCommand{Which, Final});
}

void Dispatcher::leave(const std::string &EndpointKey) {
  const auto Found = Endpoints.find(EndpointKey);
  if (Found == Endpoints.end())
    return;
  --Found->second.InFlight;
  if (!Found->second.Current && Found->second.InFlight == 0)
    Endpoints.erase(Found);
}

} // namespace coltsfoottrail
