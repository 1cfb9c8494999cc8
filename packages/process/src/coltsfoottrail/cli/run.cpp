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
/// A plan or the state is followed until so many looks in a row fail.
constexpr unsigned MaxFailedLooks = 5;

std::string planPath(Offset Plan) {
  return std::string(PlansPath) + "/" + std::to_string(Plan);
}

Declaration readDeclarationFile(const std::string &File) {
  std::error_code Ignored;
  std::ifstream From(File, std::ios::binary);
  if (!From || std::filesystem::is_directory(File, Ignored))
    throw InputError(File, "", "a file that cannot be read",
                     "a file with a declaration in JSON");
  std::ostringstream Text;
  Text << From.rdbuf();
  return readDeclaration(parseJson(Text.str(), File), File,
                         UnknownKeys::Refuse);
}

/// Reads an answer; one that cannot be read counts as none, not as a wrong
/// file.
template <class Read> auto readAnswer(const Read &Reading) {
  try {
    return Reading();
  } catch (const InputError &Problem) {
    throw CommandError(ExitCode::NoAnswer, Problem.what());
  }
}

PlanView planOf(const Json &Answer) {
  return readAnswer([&] { return readPlanView(Answer); });
}

std::string dumped(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Tells whether a plan's line in the state may be about an intent. An entry
/// host may shorten a declaration to a change, which reads otherwise.
bool asksAlike(const Intent &Wanted, std::string_view Asked) {
  if (std::holds_alternative<ApplyDeclaration>(Wanted))
    return Asked.starts_with("apply a declaration") ||
           Asked.starts_with("change the declaration");
  return Asked == describeIntent(Wanted);
}

/// Runs one command against the entry hosts.
class Session {
public:
  Session(const ConnectionOptions &Given, Secret Credential,
          const CommandContext &With)
      : Options(Given), Context(With),
        Client(Given, std::move(Credential), With.Sender) {}

  ExitCode operator()(const PlanCommand &Asked) { return propose(Asked.Asked); }

  ExitCode operator()(const ApplyCommand &Asked) {
    ApplyDeclaration Out;
    Out.Desired = readDeclarationFile(Asked.File);
    return propose(Out);
  }

  ExitCode operator()(const ConfirmCommand &Asked) {
    PlanView Seen;
    try {
      Seen = changePlan(Asked.Plan, "/confirm");
    } catch (const AnswerLost &Lost) {
      Seen = lookAfterLoss(Asked.Plan, Lost, [](const PlanView &Plan) {
        return Plan.Stage != PlanStage::Proposed;
      });
      if (Seen.Stage == PlanStage::Proposed)
        throw CommandError(ExitCode::NoAnswer,
                           notInForce("confirmed", Asked.Plan));
    } catch (const CommandError &Problem) {
      if (Problem.code() != ExitCode::Conflict)
        throw;
      throw CommandError(ExitCode::Conflict,
                         Problem.what() + planAnew(Asked.Plan));
    }
    if (!Asked.Wait)
      return Seen.Stage == PlanStage::Abandoned ? ExitCode::Abandoned
                                                : ExitCode::Ok;
    return follow(std::move(Seen));
  }

  ExitCode operator()(const AbandonCommand &Asked) {
    try {
      (void)changePlan(Asked.Plan, "/abandon");
    } catch (const AnswerLost &Lost) {
      const PlanView Seen = lookAfterLoss(
          Asked.Plan, Lost, [](const PlanView &Plan) { return Plan.ended(); });
      if (Seen.Stage == PlanStage::Done)
        throw CommandError(ExitCode::Conflict, "conflict: the plan is done");
      if (!Seen.ended())
        throw CommandError(ExitCode::NoAnswer,
                           notInForce("abandoned", Asked.Plan));
    }
    return ExitCode::Ok;
  }

  ExitCode operator()(const StatusCommand &Asked) {
    const Json Answer = Client.look(Asked.Plan ? planPath(*Asked.Plan)
                                               : std::string(StatePath));
    if (Options.AsJson)
      print(dumped(Answer) + "\n");
    else
      print(Asked.Plan ? renderPlan(planOf(Answer)) : stateText(Answer));
    return ExitCode::Ok;
  }

  ExitCode operator()(const WatchCommand &Asked) {
    if (!Asked.Plan)
      return watchState();
    const Json Answer = Client.look(planPath(*Asked.Plan));
    PlanView First = planOf(Answer);
    printProgress(First, Answer);
    return follow(std::move(First));
  }

  ExitCode operator()(const DiffCommand &Asked) {
    const Declaration Wanted = readDeclarationFile(Asked.File);
    const Json Answer = Client.look(DeclarationPath);
    const Declaration InForce = readAnswer([&] {
      return readDeclaration(Answer, "declaration in force",
                             UnknownKeys::Ignore);
    });
    const std::vector<DeclarationLine> Lines =
        compareDeclarations(InForce, Wanted);
    printDifference(Lines);
    return Lines.empty() ? ExitCode::Ok : ExitCode::Differs;
  }

  ExitCode operator()(const TextCommand &Asked) {
    print(Asked.Text);
    return ExitCode::Ok;
  }

private:
  void print(const std::string &Text) { Context.Out << Text << std::flush; }

  void warn(const std::string &Text) {
    if (Options.AsJson)
      Context.Problems << dumped(Json{{"warning", Text}}) << std::endl;
    else
      Context.Problems << "coltsfoottrail: " << Text << std::endl;
  }

  static std::string stateText(const Json &Answer) {
    return readAnswer([&] { return renderState(Answer); });
  }

  void printProgress(const PlanView &Plan, const Json &Answer) {
    print((Options.AsJson ? dumped(Answer) : progressLine(Plan)) + "\n");
  }

  static std::string planAnew(Offset Plan) {
    return "; look at \"coltsfoottrail status " + std::to_string(Plan) +
           "\", or ask for a new plan with \"coltsfoottrail plan ...\" and "
           "confirm that one";
  }

  static std::string notInForce(const std::string &Wanted, Offset Plan) {
    return "plan " + std::to_string(Plan) + " is not " + Wanted +
           " as far as its entry host knows, but may still be; look at "
           "\"coltsfoottrail status " +
           std::to_string(Plan) + "\" before you ask again";
  }

  ExitCode propose(const Intent &Asked) {
    try {
      const Json Answer = Client.change(PlansPath, writeIntent(Asked));
      const PlanView Plan = planOf(Answer);
      if (Options.AsJson)
        print(dumped(Answer) + "\n");
      else
        print(renderPlan(Plan) + "nothing has changed; to go ahead: " +
              "coltsfoottrail confirm " + std::to_string(Plan.Id) + "\n");
      return ExitCode::Ok;
    } catch (const AnswerLost &Lost) {
      warn(Lost.what());
      throw CommandError(ExitCode::NoAnswer, proposedAlike(Asked));
    }
  }

  /// Says which plans that wait for a confirmation ask for the same.
  std::string proposedAlike(const Intent &Asked) {
    std::string Ids;
    const Json State = Client.look(StatePath);
    for (const Json &Each : State.at("plans"))
      if (Each.value("phase", "") == "proposed" &&
          asksAlike(Asked, Each.value("asked", "")))
        Ids += " " + dumped(Each.at("id"));
    if (Ids.empty())
      return "no plan that asks for this is known yet; nothing was confirmed; "
             "look at \"coltsfoottrail status\" before you ask again";
    return "these plans ask for the same and wait:" + Ids +
           "; look at \"coltsfoottrail status ID\" and confirm one of them";
  }

  PlanView changePlan(Offset Plan, const char *Verb) {
    const Json Answer = Client.change(planPath(Plan) + Verb, Json::object());
    PlanView Seen = planOf(Answer);
    printProgress(Seen, Answer);
    return Seen;
  }

  /// The record of a request whose answer was lost may still be on its way,
  /// so a plan that stands unchanged is looked at again a few times.
  template <class Condition>
  PlanView lookAfterLoss(Offset Plan, const AnswerLost &Lost,
                         const Condition &TookEffect) {
    warn(Lost.what());
    Json Answer;
    PlanView Seen;
    for (unsigned Looks = 0; Looks < MaxFailedLooks; ++Looks) {
      Answer = lookPatiently(planPath(Plan));
      Seen = planOf(Answer);
      if (TookEffect(Seen))
        break;
    }
    printProgress(Seen, Answer);
    return Seen;
  }

  /// Looks until a look succeeds. An entry host that lags may not know a plan
  /// yet that another one has shown.
  Json lookPatiently(const std::string &Target) {
    for (unsigned Failed = 1;; ++Failed) {
      Context.Sleep(Options.Interval);
      try {
        return Client.look(Target);
      } catch (const CommandError &Problem) {
        if (Problem.code() == ExitCode::Refused || Failed == MaxFailedLooks)
          throw;
      }
    }
  }

  ExitCode follow(PlanView Last) {
    std::string Shown = progressLine(Last);
    while (!Last.ended()) {
      const Json Answer = lookPatiently(planPath(Last.Id));
      PlanView Now = planOf(Answer);
      if (Now.isOlderThan(Last))
        continue;
      if (progressLine(Now) != Shown)
        printProgress(Now, Answer);
      Shown = progressLine(Now);
      Last = std::move(Now);
    }
    return Last.Stage == PlanStage::Done ? ExitCode::Ok : ExitCode::Abandoned;
  }

  ExitCode watchState() {
    Json Last = Client.look(StatePath);
    print(Options.AsJson ? dumped(Last) + "\n" : stateText(Last));
    while (Context.Out) {
      Json Now = lookPatiently(StatePath);
      if (Now.at("next") < Last.at("next"))
        continue;
      printChanges(Last, Now);
      Last = std::move(Now);
    }
    return ExitCode::Ok;
  }

  void printChanges(const Json &Last, const Json &Now) {
    const std::vector<std::string> Lines =
        readAnswer([&] { return changesOf(Last, Now); });
    if (Options.AsJson && !Lines.empty())
      print(dumped(Now) + "\n");
    if (!Options.AsJson)
      for (const std::string &Line : Lines)
        print(Line + "\n");
  }

  void printDifference(const std::vector<DeclarationLine> &Lines) {
    if (!Options.AsJson) {
      for (const DeclarationLine &Each : Lines)
        print(printable(textOf(Each)) + "\n");
      return;
    }
    Json Changes = Json::array();
    for (const DeclarationLine &Each : Lines)
      Changes.push_back(jsonOf(Each));
    print(dumped(
              Json{{"equal", Lines.empty()}, {"changes", std::move(Changes)}}) +
          "\n");
  }

  const ConnectionOptions &Options;
  const CommandContext &Context;
  OperatorClient Client;
};

ExitCode execute(const CommandLine &Given, const CommandContext &With) {
  Secret Credential;
  if (!std::holds_alternative<TextCommand>(Given.What))
    Credential = readSecret(Given.Options.CredentialFile, "credential file",
                            Given.Options.CredentialFile, 1);
  Session Running(Given.Options, std::move(Credential), With);
  return std::visit(Running, Given.What);
}

ExitCode report(bool AsJson, ExitCode Code, const std::string &Text,
                std::ostream &Problems) {
  if (AsJson)
    Problems << dumped(Json{{"error", Text},
                            {"exit_code", static_cast<unsigned>(Code)}})
             << std::endl;
  else
    Problems << "coltsfoottrail: " << Text << std::endl;
  return Code;
}

} // namespace

ExitCode runCommandLine(std::vector<std::string> Arguments,
                        const Environment &Variables,
                        const CommandContext &With) {
  const bool AsJson = std::ranges::find(Arguments, "--json") != Arguments.end();
  try {
    const CommandLine Given = parseCommandLine(std::move(Arguments), Variables);
    return execute(Given, With);
  } catch (const CommandError &Problem) {
    return report(AsJson, Problem.code(), Problem.what(), With.Problems);
  } catch (const Error &Problem) {
    return report(AsJson, ExitCode::WrongFile, Problem.what(), With.Problems);
  } catch (const std::exception &Problem) {
    return report(AsJson, ExitCode::NoAnswer, Problem.what(), With.Problems);
  }
}

} // namespace coltsfoottrail
