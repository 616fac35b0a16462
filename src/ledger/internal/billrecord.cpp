#include "ledger/internal/billrecord.h"

#include <algorithm>
#include <optional>

#include <nlohmann/json.hpp>

namespace acaciasail::ledger {

namespace {

using Json = nlohmann::json;
using table::Rank;

std::optional<Rank> rankFromName(std::string_view name)
{
    for (const Rank rank : { Rank::Urgent, Rank::Normal, Rank::Flex }) {
        if (rankName(rank) == name)
            return rank;
    }
    return std::nullopt;
}

BillRecord recordFromJson(const Json &json)
{
    BillRecord record;
    record.id = kernel::BillId(json.at("bill").get<std::string>());
    record.request = kernel::RequestId(json.at("request").get<std::string>());
    record.workspace = kernel::WorkspaceId(json.at("workspace").get<std::string>());
    record.caller = kernel::CallerId(json.at("caller").get<std::string>());
    record.version = kernel::VersionId(json.at("version").get<std::string>());
    record.service = kernel::ServiceName(json.at("service").get<std::string>());
    record.rank = rankFromName(json.at("rank").get<std::string>()).value_or(Rank::Normal);
    record.inputTokens = kernel::Tokens(json.at("input_tokens").get<std::int64_t>());
    record.outputTokens = kernel::Tokens(json.at("output_tokens").get<std::int64_t>());
    record.cost = kernel::MicroCurrency(json.at("cost").get<std::int64_t>());
    record.at = kernel::WallTime(kernel::Duration(json.at("at").get<std::int64_t>()));
    return record;
}

std::string groupOf(const BillRecord &record, BillGrouping grouping)
{
    switch (grouping) {
    case BillGrouping::Workspace:
        return record.workspace.str();
    case BillGrouping::Caller:
        return record.caller.str();
    case BillGrouping::Version:
        return record.version.str();
    case BillGrouping::Service:
        return record.service.str();
    case BillGrouping::Rank:
        break;
    }
    return std::string(rankName(record.rank));
}

} // namespace

std::string_view rankName(Rank rank)
{
    switch (rank) {
    case Rank::Urgent:
        return "urgent";
    case Rank::Normal:
        return "normal";
    case Rank::Flex:
        break;
    }
    return "flex";
}

std::string toJsonText(const BillRecord &record)
{
    const Json json = { { "bill", record.id.str() },
                        { "request", record.request.str() },
                        { "workspace", record.workspace.str() },
                        { "caller", record.caller.str() },
                        { "version", record.version.str() },
                        { "service", record.service.str() },
                        { "rank", rankName(record.rank) },
                        { "input_tokens", record.inputTokens.count() },
                        { "output_tokens", record.outputTokens.count() },
                        { "cost", record.cost.count() },
                        { "at", record.at.time_since_epoch().count() } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

BillBatch makeBatch(std::vector<std::string> ids, const std::vector<std::string> &texts)
{
    std::ranges::sort(ids);
    std::string name;
    for (const std::string &id : ids) {
        name += id;
        name += '\n';
    }
    BillBatch batch;
    batch.key = std::string(billPrefix) + kernel::sha256Hex(name);
    batch.value = R"({"records":[)";
    for (const std::string &text : texts) {
        if (&text != &texts.front())
            batch.value += ',';
        batch.value += text;
    }
    batch.value += "]}";
    return batch;
}

kernel::Result<std::vector<BillRecord>> parseBatch(std::string_view value)
{
    std::vector<BillRecord> records;
    try {
        const Json document = Json::parse(value.begin(), value.end());
        for (const Json &json : document.at("records"))
            records.push_back(recordFromJson(json));
    } catch (const Json::exception &error) {
        return kernel::fail(kernel::ResultCode::PlatformProtocol,
                            std::string("a batch of bills is malformed: ") + error.what());
    }
    return records;
}

kernel::Result<void> addBatch(BillSet &bills, std::string_view value)
{
    auto records = parseBatch(value);
    if (!records)
        return records.error();
    for (BillRecord &record : *records) {
        const kernel::BillId id = record.id;
        bills.emplace(id, std::move(record));
    }
    return {};
}

std::map<std::string, BillTotal> totalsBy(const BillSet &bills, BillGrouping grouping)
{
    std::map<std::string, BillTotal> totals;
    for (const auto &[id, record] : bills) {
        BillTotal &total = totals[groupOf(record, grouping)];
        ++total.requests;
        total.inputTokens += record.inputTokens;
        total.outputTokens += record.outputTokens;
        total.cost += record.cost;
    }
    return totals;
}

} // namespace acaciasail::ledger
