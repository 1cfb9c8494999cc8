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
constexpr std::string_view ColumnGap = "  ";
/// Values of the member "phase", in the order of PlanStage.
constexpr std::array<std::string_view, 4> StageWords{"proposed", "running",
                                                     "done", "abandoned"};

/// A column: its heading and the JSON member that it shows.
struct Column {
  const char *Heading;
  const char *Key;
};

/// A table of the state: the kind of its rows, the JSON member that holds them,
/// and its columns. The first column identifies a row.
struct StateTable {
  const char *Name;
  const char *Key;
  std::vector<Column> Columns;
};

const std::vector<StateTable> &stateTables() {
  static const std::vector<StateTable> Tables{
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
  return Tables;
}

constexpr std::array<std::pair<const char *, const char *>, 2> DrainedLists{{
    {"drained data centre", "drained_data_centres"},
    {"drained host", "drained_hosts"},
}};

std::string joined(const Json &List) {
  std::string Result;
  for (const Json &Item : List) {
    if (!Result.empty())
      Result += ", ";
    Result += Item.is_string() ? Item.get<std::string>() : Item.dump();
  }
  return Result;
}

std::string cellOf(const Json &Entry, const char *Key) {
  const auto Member = Entry.find(Key);
  if (Member == Entry.end())
    return "-";
  if (Member->is_array())
    return joined(*Member);
  return Member->is_string() ? Member->get<std::string>() : Member->dump();
}

const Json &listAt(const Json &Answer, const char *Key) {
  if (!Answer.is_object())
    throw InputError(AnswerSource, "", "something else", "an object");
  const auto Member = Answer.find(Key);
  if (Member == Answer.end() || !Member->is_array())
    throw InputError(AnswerSource, "/" + std::string(Key), "no list", "a list");
  return *Member;
}

std::vector<TableRow> rowsOf(const Json &Answer, const StateTable &Table) {
  std::vector<TableRow> Result;
  for (const Json &Entry : listAt(Answer, Table.Key)) {
    TableRow Row;
    for (const Column &TableColumn : Table.Columns)
      Row.push_back(cellOf(Entry, TableColumn.Key));
    Result.push_back(std::move(Row));
  }
  return Result;
}

TableRow headOf(const StateTable &Table) {
  TableRow Result;
  for (const Column &TableColumn : Table.Columns)
    Result.emplace_back(TableColumn.Heading);
  return Result;
}

void appendLine(std::string &Text, const TableRow &Row,
                const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t Index = 0; Index < Row.size(); ++Index) {
    if (Index > 0)
      Line += ColumnGap;
    Line += Row[Index];
    Line.append(Widths[Index] - Row[Index].size(), ' ');
  }
  Line.erase(Line.find_last_not_of(' ') + 1);
  Text += Line + "\n";
}

/// The objects of a state: "kind name" mapped to a line with the other columns.
std::map<std::string, std::string> describeObjects(const Json &Answer) {
  std::map<std::string, std::string> Result;
  for (const StateTable &Table : stateTables())
    for (const TableRow &Row : rowsOf(Answer, Table)) {
      std::string Line;
      for (std::size_t Index = 1; Index < Row.size(); ++Index)
        Line += (Index > 1 ? ", " : "") +
                std::string(Table.Columns[Index].Key) + " " + Row[Index];
      Result[std::string(Table.Name) + " " + Row.front()] = std::move(Line);
    }
  for (const auto &[Name, Key] : DrainedLists)
    for (const Json &Item : listAt(Answer, Key))
      Result[std::string(Name) + " " + joined(Json::array({Item}))] = "drained";
  return Result;
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
  std::string Result;
  for (const TableRow &Row : Lines)
    appendLine(Result, Row, Widths);
  return Result;
}

bool PlanView::isOlderThan(const PlanView &Other) const noexcept {
  return std::pair(Stage, StepsDone) < std::pair(Other.Stage, Other.StepsDone);
}

PlanView readPlanView(const Json &Answer) {
  ObjectReader Reader(Answer, AnswerSource, {}, UnknownKeys::Ignore);
  PlanView Result;
  Result.Id = Reader.number("id");
  Result.Stage = static_cast<PlanStage>(Reader.word("phase", StageWords));
  Result.StepsDone = Reader.number("steps_done");
  Result.Steps = Reader.number("steps");
  Result.Operator = printable(Reader.textOr("operator", ""));
  Result.Executor = printable(Reader.textOr("executor", ""));
  Result.Reason = printable(Reader.textOr("why", ""));
  for (const std::string &Line : Reader.texts("text"))
    Result.Text.push_back(printable(Line));
  return Result;
}

std::string progressLine(const PlanView &Plan) {
  std::string Result =
      "plan " + std::to_string(Plan.Id) + ": " +
      std::string(StageWords.at(static_cast<std::size_t>(Plan.Stage))) + ", " +
      std::to_string(Plan.StepsDone) + " of " + std::to_string(Plan.Steps) +
      " steps done";
  if (!Plan.Executor.empty())
    Result += ", carried out by " + Plan.Executor;
  if (!Plan.Reason.empty())
    Result += "; " + Plan.Reason;
  return Result;
}

std::string renderPlan(const PlanView &Plan) {
  std::string Result = progressLine(Plan) + "\n";
  if (!Plan.Operator.empty())
    Result += "proposed by " + Plan.Operator + "\n";
  for (const std::string &Line : Plan.Text)
    Result += Line + "\n";
  return Result;
}

std::string renderState(const Json &Answer) {
  std::string Result;
  for (const StateTable &Table : stateTables()) {
    const std::vector<TableRow> Rows = rowsOf(Answer, Table);
    if (!Rows.empty())
      Result += renderTable(headOf(Table), Rows) + "\n";
  }
  for (const auto &[Name, Key] : DrainedLists) {
    const std::string Names = printable(joined(listAt(Answer, Key)));
    Result +=
        std::string(Name) + "s: " + (Names.empty() ? "none" : Names) + "\n";
  }
  return Result;
}

std::vector<std::string> changesOf(const Json &Before, const Json &After) {
  const std::map<std::string, std::string> Old = describeObjects(Before);
  const std::map<std::string, std::string> New = describeObjects(After);
  std::vector<std::string> Result;
  for (const auto &[Object, Line] : Old)
    if (!New.contains(Object))
      Result.push_back(printable("- " + Object));
  for (const auto &[Object, Line] : New) {
    const auto Previous = Old.find(Object);
    if (Previous == Old.end())
      Result.push_back(printable("+ " + Object + ": " + Line));
    else if (Previous->second != Line)
      Result.push_back(printable("~ " + Object + ": " + Line));
  }
  return Result;
}

} // namespace coltsfoottrail
