#include "coltsfoottrail/cli/view.hpp"

#include "coltsfoottrail/cli/exitcode.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::string_view AnswerSource = "entry host's answer";
constexpr std::string_view Gap = "  ";
/// In the order of PlanStage.
constexpr std::array<std::string_view, 4> StageWords{"proposed", "running",
                                                     "done", "abandoned"};

/// A column: its name and the member that it shows.
struct Column {
  const char *Name;
  const char *Key;
};

/// A table of the state: its name, the member that holds it, its columns. The
/// first column names a row.
struct Section {
  const char *Name;
  const char *Key;
  std::vector<Column> Columns;
};

const std::vector<Section> &sections() {
  static const std::vector<Section> All{
      {"entry host",
       "entry_hosts",
       {{"ENTRY HOST", "name"},
        {"DATA CENTRE", "data_centre"},
        {"ADDRESS", "address"},
        {"PORT", "port"}}},
      {"model",
       "models",
       {{"MODEL", "name"},
        {"VERSION", "version"},
        {"WANTED", "wanted"},
        {"SERVING", "serving"},
        {"FORMING", "forming"},
        {"STOPPING", "stopping"},
        {"BROKEN", "broken"}}},
      {"group",
       "groups",
       {{"GROUP", "id"},
        {"MODEL", "model"},
        {"VERSION", "version"},
        {"DATA CENTRE", "data_centre"},
        {"PHASE", "phase"},
        {"MEMBERS", "members"}}},
      {"service",
       "services",
       {{"SERVICE", "name"}, {"INSTANCES", "instances"}}},
      {"plan",
       "plans",
       {{"PLAN", "id"},
        {"PHASE", "phase"},
        {"DONE", "steps_done"},
        {"STEPS", "steps"},
        {"ASKED", "asked"}}},
  };
  return All;
}

constexpr std::array<std::pair<const char *, const char *>, 2> DrainedLists{{
    {"drained data centre", "drained_data_centres"},
    {"drained host", "drained_hosts"},
}};

std::string joined(const Json &List) {
  std::string Out;
  for (const Json &Each : List) {
    if (!Out.empty())
      Out += ", ";
    Out += Each.is_string() ? Each.get<std::string>() : Each.dump();
  }
  return Out;
}

std::string cellOf(const Json &Entry, const char *Key) {
  const auto Found = Entry.find(Key);
  if (Found == Entry.end())
    return "-";
  if (Found->is_array())
    return joined(*Found);
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

const Json &listAt(const Json &Answer, const char *Key) {
  if (!Answer.is_object())
    throw InputError(AnswerSource, "", "something else", "an object");
  const auto Found = Answer.find(Key);
  if (Found == Answer.end() || !Found->is_array())
    throw InputError(AnswerSource, "/" + std::string(Key), "no list", "a list");
  return *Found;
}

std::vector<TableRow> rowsOf(const Json &Answer, const Section &Shown) {
  std::vector<TableRow> Out;
  for (const Json &Entry : listAt(Answer, Shown.Key)) {
    TableRow Row;
    for (const Column &Each : Shown.Columns)
      Row.push_back(cellOf(Entry, Each.Key));
    Out.push_back(std::move(Row));
  }
  return Out;
}

TableRow headOf(const Section &Shown) {
  TableRow Out;
  for (const Column &Each : Shown.Columns)
    Out.emplace_back(Each.Name);
  return Out;
}

void putLine(std::string &Into, const TableRow &Row,
             const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t Index = 0; Index < Row.size(); ++Index) {
    if (Index > 0)
      Line += Gap;
    Line += Row[Index];
    Line.append(Widths[Index] - Row[Index].size(), ' ');
  }
  Line.erase(Line.find_last_not_of(' ') + 1);
  Into += Line + "\n";
}

/// Each thing of a state by "kind name", with a line that says how it is.
std::map<std::string, std::string> thingsOf(const Json &Answer) {
  std::map<std::string, std::string> Out;
  for (const Section &Each : sections())
    for (const TableRow &Row : rowsOf(Answer, Each)) {
      std::string Line;
      for (std::size_t Index = 1; Index < Row.size(); ++Index)
        Line += (Index > 1 ? ", " : "") + std::string(Each.Columns[Index].Key) +
                " " + Row[Index];
      Out[std::string(Each.Name) + " " + Row.front()] = std::move(Line);
    }
  for (const auto &[Name, Key] : DrainedLists)
    for (const Json &Each : listAt(Answer, Key))
      Out[std::string(Name) + " " + joined(Json::array({Each}))] = "drained";
  return Out;
}

} // namespace

std::string renderTable(const TableRow &Head, std::span<const TableRow> Rows) {
  std::vector<TableRow> Lines{Head};
  Lines.insert(Lines.end(), Rows.begin(), Rows.end());
  std::vector<std::size_t> Widths(Head.size(), 0);
  for (TableRow &Row : Lines) {
    Row.resize(Head.size());
    for (std::size_t Index = 0; Index < Row.size(); ++Index) {
      Row[Index] = printable(Row[Index]);
      Widths[Index] = std::max(Widths[Index], Row[Index].size());
    }
  }
  std::string Out;
  for (const TableRow &Row : Lines)
    putLine(Out, Row, Widths);
  return Out;
}

bool PlanView::isOlderThan(const PlanView &Other) const noexcept {
  return std::pair(Stage, StepsDone) < std::pair(Other.Stage, Other.StepsDone);
}

PlanView readPlanView(const Json &Answer) {
  ObjectReader From(Answer, AnswerSource, {}, UnknownKeys::Ignore);
  PlanView Out;
  Out.Id = From.number("id");
  Out.Stage = static_cast<PlanStage>(From.word("phase", StageWords));
  Out.StepsDone = From.number("steps_done");
  Out.Steps = From.number("steps");
  Out.Operator = printable(From.textOr("operator", ""));
  Out.Executor = printable(From.textOr("executor", ""));
  Out.Reason = printable(From.textOr("why", ""));
  for (const std::string &Line : From.texts("text"))
    Out.Text.push_back(printable(Line));
  return Out;
}

std::string progressLine(const PlanView &Plan) {
  std::string Out =
      "plan " + std::to_string(Plan.Id) + ": " +
      std::string(StageWords.at(static_cast<std::size_t>(Plan.Stage))) + ", " +
      std::to_string(Plan.StepsDone) + " of " + std::to_string(Plan.Steps) +
      " steps done";
  if (!Plan.Executor.empty())
    Out += ", carried out by " + Plan.Executor;
  if (!Plan.Reason.empty())
    Out += "; " + Plan.Reason;
  return Out;
}

std::string renderPlan(const PlanView &Plan) {
  std::string Out = progressLine(Plan) + "\n";
  if (!Plan.Operator.empty())
    Out += "proposed by " + Plan.Operator + "\n";
  for (const std::string &Line : Plan.Text)
    Out += Line + "\n";
  return Out;
}

std::string renderState(const Json &Answer) {
  std::string Out;
  for (const Section &Each : sections()) {
    const std::vector<TableRow> Rows = rowsOf(Answer, Each);
    if (!Rows.empty())
      Out += renderTable(headOf(Each), Rows) + "\n";
  }
  for (const auto &[Name, Key] : DrainedLists) {
    const std::string Names = printable(joined(listAt(Answer, Key)));
    Out += std::string(Name) + "s: " + (Names.empty() ? "none" : Names) + "\n";
  }
  return Out;
}

std::vector<std::string> changesOf(const Json &Before, const Json &After) {
  const std::map<std::string, std::string> Old = thingsOf(Before);
  const std::map<std::string, std::string> New = thingsOf(After);
  std::vector<std::string> Out;
  for (const auto &[Thing, Line] : Old)
    if (!New.contains(Thing))
      Out.push_back(printable("- " + Thing));
  for (const auto &[Thing, Line] : New) {
    const auto Known = Old.find(Thing);
    if (Known == Old.end())
      Out.push_back(printable("+ " + Thing + ": " + Line));
    else if (Known->second != Line)
      Out.push_back(printable("~ " + Thing + ": " + Line));
  }
  return Out;
}

} // namespace coltsfoottrail
