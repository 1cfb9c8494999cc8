#include "coltsfoottrail/cli/run.hpp"

#include "coltsfoottrail/cli/diff.hpp"
#include "coltsfoottrail/cli/view.hpp"
#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/intents/describe.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/record/codec.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr const char *PlansPath = "/v1/plans";
constexpr const char *StatePath = "/v1/state";
constexpr const char *DeclarationPath = "/v1/declaration";
/// Following a plan or the state ends after so many consecutive failed queries.
constexpr unsigned MaxFailedQueries = 5;

std::string planPath(Offset Plan) {
  return std::string(PlansPath) + "/" + std::to_string(Plan);
}

Declaration readDeclarationFile(const std::string &File) {
  std::error_code Ignored;
  std::ifstream Input(File, std::ios::binary);
  if (!Input || std::filesystem::is_directory(File, Ignored))
    throw InputError(File, "", "a file that cannot be read",
                     "a file with a declaration in JSON");
  std::ostringstream Text;
  Text << Input.rdbuf();
  return readDeclaration(parseJson(Text.str(), File), File,
                         UnknownKeys::Refuse);
}

/// Parses an answer; one that cannot be parsed is reported as a missing answer,
/// not as a wrong input file.
template <class Parser> auto readAnswer(const Parser &Parse) {
  try {
    return Parse();
  } catch (const InputError &Problem) {
    throw CommandError(ExitCode::NoAnswer, Problem.what());
  }
}

PlanView planOf(const Json &Answer) {
  return readAnswer([&] { return readPlanView(Answer); });
}

std::string jsonText(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Whether a plan's description in the state may be that of an intent. An entry
/// host may reduce a declaration to a change, which has another description.
bool mayDescribe(const Intent &Wanted, std::string_view Description) {
  if (std::holds_alternative<ApplyDeclaration>(Wanted))
    return Description.starts_with("apply a declaration") ||
           Description.starts_with("change the declaration");
  return Description == describeIntent(Wanted);
}

/// Runs one command against the entry hosts.
class Session {
public:
  Session(const ConnectionOptions &Connection, Secret Credential,
          const CommandContext &RunContext)
      : Options(Connection), Context(RunContext),
        Client(Connection, std::move(Credential), RunContext.Sender) {}

  ExitCode operator()(const PlanCommand &Command) {
    return propose(Command.PlanIntent);
  }

  ExitCode operator()(const ApplyCommand &Command) {
    ApplyDeclaration Requested;
    Requested.Desired = readDeclarationFile(Command.File);
    return propose(Requested);
  }

  ExitCode operator()(const ConfirmCommand &Command) {
    PlanView View;
    try {
      View = changePlan(Command.Plan, "/confirm");
    } catch (const AnswerLost &Lost) {
      View = queryAfterLoss(Command.Plan, Lost, [](const PlanView &Plan) {
        return Plan.Stage != PlanStage::Proposed;
      });
      if (View.Stage == PlanStage::Proposed)
        throw CommandError(ExitCode::NoAnswer,
                           notInEffect("confirmed", Command.Plan));
    } catch (const CommandError &Problem) {
      if (Problem.code() != ExitCode::Conflict)
        throw;
      throw CommandError(ExitCode::Conflict,
                         Problem.what() + newPlanHint(Command.Plan));
    }
    if (!Command.Wait)
      return View.Stage == PlanStage::Abandoned ? ExitCode::Abandoned
                                                : ExitCode::Ok;
    return follow(std::move(View));
  }

  ExitCode operator()(const AbandonCommand &Command) {
    try {
      (void)changePlan(Command.Plan, "/abandon");
    } catch (const AnswerLost &Lost) {
      const PlanView View =
          queryAfterLoss(Command.Plan, Lost,
                         [](const PlanView &Plan) { return Plan.ended(); });
      if (View.Stage == PlanStage::Done)
        throw CommandError(ExitCode::Conflict, "conflict: the plan is done");
      if (!View.ended())
        throw CommandError(ExitCode::NoAnswer,
                           notInEffect("abandoned", Command.Plan));
    }
    return ExitCode::Ok;
  }

  ExitCode operator()(const StatusCommand &Command) {
    const Json Answer = Client.query(Command.Plan ? planPath(*Command.Plan)
                                                  : std::string(StatePath));
    if (Options.AsJson)
      print(jsonText(Answer) + "\n");
    else
      print(Command.Plan ? renderPlan(planOf(Answer)) : stateText(Answer));
    return ExitCode::Ok;
  }

  ExitCode operator()(const WatchCommand &Command) {
    if (!Command.Plan)
      return watchState();
    const Json Answer = Client.query(planPath(*Command.Plan));
    PlanView First = planOf(Answer);
    printProgress(First, Answer);
    return follow(std::move(First));
  }

  ExitCode operator()(const DiffCommand &Command) {
    const Declaration Wanted = readDeclarationFile(Command.File);
    const Json Answer = Client.query(DeclarationPath);
    const Declaration InForce = readAnswer([&] {
      return readDeclaration(Answer, "declaration in force",
                             UnknownKeys::Ignore);
    });
    const std::vector<DeclarationDifference> Differences =
        compareDeclarations(InForce, Wanted);
    printDifferences(Differences);
    return Differences.empty() ? ExitCode::Ok : ExitCode::Differs;
  }

  ExitCode operator()(const TextCommand &Command) {
    print(Command.Text);
    return ExitCode::Ok;
  }

private:
  void print(const std::string &Text) { Context.Out << Text << std::flush; }

  void warn(const std::string &Text) {
    if (Options.AsJson)
      Context.ErrorOut << jsonText(Json{{"warning", Text}}) << std::endl;
    else
      Context.ErrorOut << "coltsfoottrail: " << Text << std::endl;
  }

  static std::string stateText(const Json &Answer) {
    return readAnswer([&] { return renderState(Answer); });
  }

  void printProgress(const PlanView &Plan, const Json &Answer) {
    print((Options.AsJson ? jsonText(Answer) : progressLine(Plan)) + "\n");
  }

  static std::string newPlanHint(Offset Plan) {
    return "; look at \"coltsfoottrail status " + std::to_string(Plan) +
           "\", or ask for a new plan with \"coltsfoottrail plan ...\" and "
           "confirm that one";
  }

  static std::string notInEffect(const std::string &Outcome, Offset Plan) {
    return "plan " + std::to_string(Plan) + " is not " + Outcome +
           " as far as its entry host knows, but may still be; look at "
           "\"coltsfoottrail status " +
           std::to_string(Plan) + "\" before you ask again";
  }

  ExitCode propose(const Intent &Requested) {
    try {
      const Json Answer = Client.submit(PlansPath, writeIntent(Requested));
      const PlanView Plan = planOf(Answer);
      if (Options.AsJson)
        print(jsonText(Answer) + "\n");
      else
        print(renderPlan(Plan) + "nothing has changed; to go ahead: " +
              "coltsfoottrail confirm " + std::to_string(Plan.Id) + "\n");
      return ExitCode::Ok;
    } catch (const AnswerLost &Lost) {
      warn(Lost.what());
      throw CommandError(ExitCode::NoAnswer, similarProposals(Requested));
    }
  }

  /// Message that lists the unconfirmed plans that may be for the same intent.
  std::string similarProposals(const Intent &Requested) {
    std::string Ids;
    const Json State = Client.query(StatePath);
    for (const Json &Plan : State.at("plans"))
      if (Plan.value("phase", "") == "proposed" &&
          mayDescribe(Requested, Plan.value("asked", "")))
        Ids += " " + jsonText(Plan.at("id"));
    if (Ids.empty())
      return "no plan that asks for this is known yet; nothing was confirmed; "
             "look at \"coltsfoottrail status\" before you ask again";
    return "these plans ask for the same and wait:" + Ids +
           "; look at \"coltsfoottrail status ID\" and confirm one of them";
  }

  PlanView changePlan(Offset Plan, const char *Verb) {
    const Json Answer = Client.submit(planPath(Plan) + Verb, Json::object());
    PlanView View = planOf(Answer);
    printProgress(View, Answer);
    return View;
  }

  /// Queries a plan after the answer to a change was lost. The record of the
  /// change may not have arrived yet, so an unchanged plan is queried again a
  /// few times.
  template <class Condition>
  PlanView queryAfterLoss(Offset Plan, const AnswerLost &Lost,
                          const Condition &TookEffect) {
    warn(Lost.what());
    Json Answer;
    PlanView View;
    for (unsigned Queries = 0; Queries < MaxFailedQueries; ++Queries) {
      Answer = queryWithRetries(planPath(Plan));
      View = planOf(Answer);
      if (TookEffect(View))
        break;
    }
    printProgress(View, Answer);
    return View;
  }

  /// Repeats a query until it succeeds. An entry host that lags may not yet
  /// know a plan that another one has shown.
  Json queryWithRetries(const std::string &Target) {
    for (unsigned Attempt = 1;; ++Attempt) {
      Context.Sleep(Options.Interval);
      try {
        return Client.query(Target);
      } catch (const CommandError &Problem) {
        if (Problem.code() == ExitCode::Refused || Attempt == MaxFailedQueries)
          throw;
      }
    }
  }

  ExitCode follow(PlanView Previous) {
    std::string PrintedLine = progressLine(Previous);
    while (!Previous.ended()) {
      const Json Answer = queryWithRetries(planPath(Previous.Id));
      PlanView Current = planOf(Answer);
      if (Current.isOlderThan(Previous))
        continue;
      if (progressLine(Current) != PrintedLine)
        printProgress(Current, Answer);
      PrintedLine = progressLine(Current);
      Previous = std::move(Current);
    }
    return Previous.Stage == PlanStage::Done ? ExitCode::Ok
                                             : ExitCode::Abandoned;
  }

  ExitCode watchState() {
    Json Previous = Client.query(StatePath);
    print(Options.AsJson ? jsonText(Previous) + "\n" : stateText(Previous));
    while (Context.Out) {
      Json Current = queryWithRetries(StatePath);
      // An entry host that lags returns an older state.
      if (Current.at("next") < Previous.at("next"))
        continue;
      printChanges(Previous, Current);
      Previous = std::move(Current);
    }
    return ExitCode::Ok;
  }

  void printChanges(const Json &Previous, const Json &Current) {
    const std::vector<std::string> Lines =
        readAnswer([&] { return changesOf(Previous, Current); });
    if (Options.AsJson && !Lines.empty())
      print(jsonText(Current) + "\n");
    if (!Options.AsJson)
      for (const std::string &Line : Lines)
        print(Line + "\n");
  }

  void printDifferences(const std::vector<DeclarationDifference> &Differences) {
    if (!Options.AsJson) {
      for (const DeclarationDifference &Difference : Differences)
        print(printable(textOf(Difference)) + "\n");
      return;
    }
    Json Changes = Json::array();
    for (const DeclarationDifference &Difference : Differences)
      Changes.push_back(jsonOf(Difference));
    print(jsonText(Json{{"equal", Differences.empty()},
                        {"changes", std::move(Changes)}}) +
          "\n");
  }

  const ConnectionOptions &Options;
  const CommandContext &Context;
  OperatorClient Client;
};

ExitCode execute(const CommandLine &Line, const CommandContext &Context) {
  Secret Credential;
  if (!std::holds_alternative<TextCommand>(Line.Command))
    Credential = readSecret(Line.Options.CredentialFile, "credential file",
                            Line.Options.CredentialFile, 1);
  Session Commands(Line.Options, std::move(Credential), Context);
  return std::visit(Commands, Line.Command);
}

ExitCode report(bool AsJson, ExitCode Code, const std::string &Text,
                std::ostream &ErrorOut) {
  if (AsJson)
    ErrorOut << jsonText(Json{{"error", Text},
                              {"exit_code", static_cast<unsigned>(Code)}})
             << std::endl;
  else
    ErrorOut << "coltsfoottrail: " << Text << std::endl;
  return Code;
}

} // namespace

ExitCode runCommandLine(std::vector<std::string> Arguments,
                        const Environment &Variables,
                        const CommandContext &Context) {
  const bool AsJson = std::ranges::find(Arguments, "--json") != Arguments.end();
  try {
    const CommandLine Line = parseCommandLine(std::move(Arguments), Variables);
    return execute(Line, Context);
  } catch (const CommandError &Problem) {
    return report(AsJson, Problem.code(), Problem.what(), Context.ErrorOut);
  } catch (const Error &Problem) {
    return report(AsJson, ExitCode::WrongFile, Problem.what(),
                  Context.ErrorOut);
  } catch (const std::exception &Problem) {
    return report(AsJson, ExitCode::NoAnswer, Problem.what(), Context.ErrorOut);
  }
}

} // namespace coltsfoottrail
