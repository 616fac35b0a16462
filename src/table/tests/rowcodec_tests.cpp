#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "table/table.h"

using namespace acaciasail;
using namespace acaciasail::table;
using kernel::ResultCode;

namespace {

const std::string digest(64, 'a');

// Returns a valid row of each table.
std::vector<Row> sampleRows()
{
    return {
        WorkspaceRow{ .id = kernel::WorkspaceId("w"), .models = { kernel::ModelId("m") } },
        CallerRow{ .id = kernel::CallerId("c"),
                   .workspace = kernel::WorkspaceId("w"),
                   .keySha256 = digest },
        ModelRow{ .id = kernel::ModelId("m") },
        VersionRow{ .id = kernel::VersionId("v1"), .model = kernel::ModelId("m") },
        WeightRow{ .workspace = kernel::WorkspaceId("w"), .version = kernel::VersionId("v1") },
        LimitRow{ .scope = LimitScope::Workspace, .subject = "w" },
        UpstreamRow{ .id = kernel::UpstreamId("u"),
                     .dataCentre = kernel::DataCentreId("d"),
                     .endpoint = { "127.0.0.1", 80 } },
        RolloutRow{ .id = kernel::RolloutId("r"),
                    .baseline = kernel::VersionId("v1"),
                    .candidate = kernel::VersionId("v2") },
        ServiceRow{ .id = kernel::ServiceName("s") },
    };
}

struct BadCell
{
    TableId table;
    std::string row;
    Cell cell;
    ResultCode code;
    std::string message;
};

} // namespace

TEST(RowCodec, RowsOfEachTableRoundTripWithAllColumnsAndNoOthers)
{
    const std::vector<Row> rows = sampleRows();
    ASSERT_EQ(rows.size(), tables().size());
    for (const Row &row : rows) {
        const TableInfo &table = describe(tableOf(row));
        const auto cells = cellTexts(row);
        ASSERT_EQ(cells.size(), table.columns.size());
        for (std::size_t i = 0; i < cells.size(); ++i)
            EXPECT_EQ(cells[i].column, table.columns[i].name);
        const CheckedRow again = parseRow(keyOf(row), formatRow(row), UnknownColumns::Refuse);
        ASSERT_TRUE(again.ok()) << table.name << ": " << toString(again.errors.front());
        EXPECT_EQ(again.json, formatRow(row));
        EXPECT_EQ(rowIdOf(*again.row), rowIdOf(row));
        EXPECT_TRUE(parseRowWithoutId(table.id, formatRow(row)).ok());
    }
}

RC_GTEST_PROP(RowCodec, TypedCellsRoundTrip, ())
{
    const double weight = *rc::gen::inRange(0, 1000000) / 8.0;
    const int timeout = *rc::gen::inRange(1, 3600000);
    const CheckedRow weightRow
        = setCells({ TableId::Weights, "w:v" }, "", { { "weight", std::to_string(weight) } });
    RC_ASSERT(weightRow.ok());
    RC_ASSERT(std::get<WeightRow>(*weightRow.row).weight == weight);
    const CheckedRow service
        = setCells({ TableId::Services, "s" }, "", { { "timeout", std::to_string(timeout) } });
    RC_ASSERT(service.ok());
    RC_ASSERT(std::get<ServiceRow>(*service.row).timeout == std::chrono::milliseconds(timeout));
}

RC_GTEST_PROP(RowCodec, ArbitraryTextIsRejectedWithoutCrash, (const std::string &text))
{
    for (const TableInfo &table : tables()) {
        RC_ASSERT(!parseRow({ table.id, "x" }, text, UnknownColumns::Ignore).ok());
        RC_ASSERT(!parseRowWithoutId(table.id, text).ok());
        for (const Column &column : table.columns)
            setCells({ table.id, text }, "", { { std::string(column.name), text } });
    }
    RC_ASSERT(!parseRowValue(text).ok());
}

TEST(RowCodec, ErrorsNameRowAndColumn)
{
    const std::vector<BadCell> cases{
        { TableId::Weights,
          "w:v",
          { "weight", "-1" },
          ResultCode::InvalidCell,
          R"(table "weights", row "w:v", column "weight": -1 is not between 0 and 1000000)" },
        { TableId::Weights,
          "w:v",
          { "weight", "heavy" },
          ResultCode::InvalidCell,
          R"(table "weights", row "w:v", column "weight": "heavy" is not a number)" },
        { TableId::Weights,
          "w",
          { "weight", "1" },
          ResultCode::RowInvalid,
          R"(table "weights", row "w": the id has 1 parts instead of 2)" },
        { TableId::Services,
          "s",
          { "timeout", "1.5" },
          ResultCode::InvalidCell,
          R"(table "services", row "s", column "timeout": 1.5 is not a whole number)" },
        { TableId::Services,
          "s",
          { "colour", "red" },
          ResultCode::UnknownColumn,
          R"(table "services", row "s", column "colour": the table has no such column)" },
        { TableId::Services,
          "s",
          { "id", "t" },
          ResultCode::InvalidCell,
          R"(table "services", row "s", column "id": is part of the row's id)" },
        { TableId::Services,
          "a b",
          { "timeout", "1" },
          ResultCode::InvalidCell,
          "table \"services\", row \"a b\", column \"id\": \"a b\" is not a name (letters, digits, "
          "\".\", \"_\" and \"-\", at most 64)" },
        { TableId::Workspaces,
          "w",
          { "models", "m,m" },
          ResultCode::InvalidCell,
          R"(table "workspaces", row "w", column "models": ["m","m"] holds "m" twice)" },
        { TableId::Workspaces,
          "w",
          { "highest_rank", "urgent" },
          ResultCode::InvalidCell,
          "table \"workspaces\", row \"w\", column \"highest_rank\": \"urgent\" is not one of "
          "\"priority\" \"default\" \"flex\"" },
        { TableId::Callers,
          "c",
          { "workspace", "w" },
          ResultCode::InvalidCell,
          R"(table "callers", row "c", column "key_sha256": is required)" },
    };
    for (const BadCell &bad : cases) {
        const CheckedRow checked = setCells({ bad.table, bad.row }, "", { bad.cell });
        ASSERT_EQ(checked.errors.size(), 1U) << bad.message;
        EXPECT_EQ(checked.errors.front().code, bad.code);
        EXPECT_EQ(toString(checked.errors.front()), bad.message);
    }
}

TEST(RowCodec, ColumnsOfALaterReleaseSurviveAnEdit)
{
    const std::string later = R"({"id":"s","timeout":5,"colour":"red"})";
    EXPECT_FALSE(parseRow({ TableId::Services, "s" }, later, UnknownColumns::Refuse).ok());
    const CheckedRow edited = setCells({ TableId::Services, "s" }, later, { { "timeout", "6" } });
    ASSERT_TRUE(edited.ok());
    EXPECT_NE(edited.json.find(R"("colour":"red")"), std::string::npos);
}

TEST(References, DanglingReferencesDuplicateKeysAndCandidatesOfOtherModelsAreFound)
{
    RowMap rows;
    for (const Row &row : sampleRows())
        rows.emplace(keyOf(row), row);
    const auto dangling = checkRows(rows);
    ASSERT_EQ(dangling.size(), 1U);
    EXPECT_EQ(toString(dangling.front()),
              "table \"rollouts\", row \"r\", column \"candidate\": names \"versions/v2\", which "
              "does not exist");

    const VersionRow other{ .id = kernel::VersionId("v2"), .model = kernel::ModelId("m2") };
    rows.emplace(RowKey{ TableId::Models, "m2" }, ModelRow{ .id = kernel::ModelId("m2") });
    rows.emplace(RowKey{ TableId::Versions, "v2" }, other);
    ASSERT_EQ(checkRows(rows).size(), 1U);
    EXPECT_EQ(checkRows(rows).front().code, ResultCode::RowInvalid);

    const CallerRow twin{ .id = kernel::CallerId("c2"),
                          .workspace = kernel::WorkspaceId("w"),
                          .keySha256 = digest };
    EXPECT_EQ(checkPut(rows, twin).size(), 1U);
    EXPECT_EQ(checkDelete(rows, { TableId::Models, "m" }).size(), 2U);
    EXPECT_TRUE(checkDelete(rows, { TableId::Services, "s" }).empty());
}
