#include "coltsfoottrail/server/groupdriver.hpp"

#include "coltsfoottrail/groups/agent.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/logging/log.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

constexpr milliseconds AppendWait{3'000};

} // namespace

struct GroupDriver::Inner {
  Inner(asio::io_context &Where, AgreedStream &Stream, Engines &Ordered,
        const HostName &Self, Incarnation Run, Sender Send, ReportListener Told)
      : Control(Where), Agreed(Stream), Orders(Ordered),
        Agent(GroupTimes{}, WatchTimes{}, Self, Run), ToPeer(std::move(Send)),
        OnReport(std::move(Told)) {}

  void perform(AppendRecord Command);
  void perform(OrderEngine Command);
  void perform(AskEngine Command);

  asio::io_context &Control;
  AgreedStream &Agreed;
  Engines &Orders;
  GroupAgent Agent;
  Sender ToPeer;
  ReportListener OnReport;
  bool Stopped = false;
};

GroupDriver::GroupDriver(asio::io_context &Where, AgreedStream &Stream,
                         Engines &Ordered, const HostName &Self,
                         Incarnation Run, Sender Send, ReportListener Told)
    : Own(std::make_unique<Inner>(Where, Stream, Ordered, Self, Run,
                                  std::move(Send), std::move(Told))) {}

GroupDriver::~GroupDriver() = default;

void GroupDriver::stop() { Own->Stopped = true; }

void GroupDriver::poll() {
  if (Own->Stopped)
    return;
  GroupDecisions Due = Own->Agent.poll(*Own->Agreed.state(), BootClock::now());
  for (GroupCommand &One : Due.Commands)
    std::visit([this](auto &Command) { Own->perform(std::move(Command)); },
               One);
  for (const BeatToSend &Beat : Due.Beats)
    Own->ToPeer(Beat.To, writeBeat(Beat.Beat));
}

void GroupDriver::receive(const HostName &From, const Json &Message) {
  if (Own->Stopped)
    return;
  try {
    const LivenessBeat Beat = readBeat(Message);
    if (Beat.From == From)
      Own->Agent.receiveBeat(Beat, BootClock::now());
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void GroupDriver::suspect(const GroupId &Group) {
  Own->Agent.suspect(Group, BootClock::now());
}

std::map<GroupId, TimePoint> GroupDriver::usableUntil() const {
  return Own->Agent.usableUntil();
}

void GroupDriver::Inner::perform(AppendRecord Command) {
  Agreed.append(std::move(Command.Body), AppendWait,
                [this, Id = Command.Id](const AppendOutcome &Got) {
                  if (Stopped)
                    return;
                  const AppendResult Result =
                      Got.Appended ? AppendResult(Got.RecordOffset)
                                   : AppendResult(LogFailure::Unknown);
                  Agent.recordAppend(Id, Result, BootClock::now());
                });
}

// Failure guarded against: this host was paused between the decision and the
// order, and its lease has lapsed. The clock, which counts the pause, is read
// last of all.
void GroupDriver::Inner::perform(OrderEngine Command) {
  const TimePoint Now = BootClock::now();
  if (Now > Command.NotAfter) {
    Agent.recordOrder(Command.Id, OrderResult::NotDone, Now);
    return;
  }
  Orders.order(
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

void GroupDriver::Inner::perform(AskEngine Command) {
  Orders.ask(Command.Address, Command.Timeout,
             [this, Id = Command.Id,
              Host = Command.Host](std::optional<EngineReport> Report) {
               asio::post(Control, [this, Id, Host, Got = std::move(Report)] {
                 if (Stopped)
                   return;
                 if (Got)
                   OnReport(Host, *Got);
                 Agent.recordReport(Id, Got, BootClock::now());
               });
             });
}

} // namespace coltsfoottrail
