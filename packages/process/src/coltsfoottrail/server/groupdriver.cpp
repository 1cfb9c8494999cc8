#include "coltsfoottrail/server/groupdriver.hpp"

#include "coltsfoottrail/groups/agent.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/logging/log.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

constexpr milliseconds AppendTimeout{3'000};

} // namespace

struct GroupDriver::Impl {
  Impl(asio::io_context &Context, AgreedStream &Stream, Engines &EngineClients,
       const HostName &Self, Incarnation Run, Sender Send,
       ReportListener OnReportCallback)
      : Control(Context), Agreed(Stream), Clients(EngineClients),
        Agent(GroupTimes{}, WatchTimes{}, Self, Run), ToPeer(std::move(Send)),
        OnReport(std::move(OnReportCallback)) {}

  void perform(AppendRecord Command);
  void perform(OrderEngine Command);
  void perform(AskEngine Command);

  asio::io_context &Control;
  AgreedStream &Agreed;
  Engines &Clients;
  GroupAgent Agent;
  Sender ToPeer;
  ReportListener OnReport;
  bool Stopped = false;
};

GroupDriver::GroupDriver(asio::io_context &Context, AgreedStream &Stream,
                         Engines &EngineClients, const HostName &Self,
                         Incarnation Run, Sender Send,
                         ReportListener OnReportCallback)
    : Pimpl(std::make_unique<Impl>(Context, Stream, EngineClients, Self, Run,
                                   std::move(Send),
                                   std::move(OnReportCallback))) {}

GroupDriver::~GroupDriver() = default;

void GroupDriver::stop() { Pimpl->Stopped = true; }

void GroupDriver::poll() {
  if (Pimpl->Stopped)
    return;
  GroupDecisions Decisions =
      Pimpl->Agent.poll(*Pimpl->Agreed.state(), BootClock::now());
  for (GroupCommand &Next : Decisions.Commands)
    std::visit([this](auto &Command) { Pimpl->perform(std::move(Command)); },
               Next);
  for (const BeatToSend &Beat : Decisions.Beats)
    Pimpl->ToPeer(Beat.To, writeBeat(Beat.Beat));
}

void GroupDriver::receive(const HostName &From, const Json &Message) {
  if (Pimpl->Stopped)
    return;
  try {
    const LivenessBeat Beat = readBeat(Message);
    if (Beat.From == From)
      Pimpl->Agent.receiveBeat(Beat, BootClock::now());
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void GroupDriver::suspect(const GroupId &Group) {
  Pimpl->Agent.suspect(Group, BootClock::now());
}

std::map<GroupId, TimePoint> GroupDriver::usableUntil() const {
  return Pimpl->Agent.usableUntil();
}

void GroupDriver::Impl::perform(AppendRecord Command) {
  Agreed.append(std::move(Command.Body), AppendTimeout,
                [this, Id = Command.Id](const AppendOutcome &Outcome) {
                  if (Stopped)
                    return;
                  const AppendResult Result =
                      Outcome.Appended ? AppendResult(Outcome.RecordOffset)
                                       : AppendResult(LogFailure::Unknown);
                  Agent.recordAppend(Id, Result, BootClock::now());
                });
}

// Guards against sending an order after the lease lapsed while this host was
// paused between the decision and this call. The clock counts the time of a
// pause and is read as late as possible.
void GroupDriver::Impl::perform(OrderEngine Command) {
  const TimePoint Now = BootClock::now();
  if (Now > Command.NotAfter) {
    Agent.recordOrder(Command.Id, OrderResult::NotDone, Now);
    return;
  }
  Clients.order(
      Command.Address, Command.Order, Command.Timeout,
      [this, Id = Command.Id, Host = Command.Host](OrderResult Result) {
        asio::post(Control, [this, Id, Host, Result] {
          if (Stopped)
            return;
          if (Result == OrderResult::RefusedOldFence ||
              Result == OrderResult::RefusedOther)
            logEvent(Event::OrderRefused, {{"host", Host}});
          Agent.recordOrder(Id, Result, BootClock::now());
        });
      });
}

void GroupDriver::Impl::perform(AskEngine Command) {
  Clients.ask(Command.Address, Command.Timeout,
              [this, Id = Command.Id,
               Host = Command.Host](std::optional<EngineReport> Report) {
                asio::post(Control,
                           [this, Id, Host, Outcome = std::move(Report)] {
                             if (Stopped)
                               return;
                             if (Outcome)
                               OnReport(Host, *Outcome);
                             Agent.recordReport(Id, Outcome, BootClock::now());
                           });
              });
}

} // namespace coltsfoottrail
