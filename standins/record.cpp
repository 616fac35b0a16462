#include "record.h"

#include <nlohmann/json.hpp>

namespace acaciasail::standins {

namespace {

using Json = nlohmann::ordered_json;

Json toJson(const RunRecord &run)
{
    return { { "request", run.request },
             { "attempt", run.attempt },
             { "idempotency_key", run.idempotencyKey },
             { "upstream", run.upstream },
             { "version", run.version },
             { "outcome", run.outcome },
             { "priority", run.priority },
             { "first_token", run.firstToken },
             { "tokens_sent", run.tokensSent },
             { "prompt_tokens", run.promptTokens } };
}

Json toJson(const OrderRecord &order)
{
    return { { "order", order.order },     { "upstream", order.upstream },
             { "kind", order.kind },       { "version", order.version },
             { "role", order.role },       { "holder", order.holder },
             { "fencing", order.fencing }, { "applied", order.applied } };
}

} // namespace

std::string formatRecord(const Record &record)
{
    Json json = { { "runs", Json::array() },
                  { "orders", Json::array() },
                  { "object_calls", record.objectCalls },
                  { "open_watches", record.openWatches } };
    for (const RunRecordPtr &run : record.runs)
        json["runs"].push_back(toJson(*run));
    for (const OrderRecord &order : record.orders)
        json["orders"].push_back(toJson(order));
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace acaciasail::standins
