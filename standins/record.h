#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acaciasail::standins {

/// One request that a runner got.
struct RunRecord
{
    std::string request;
    std::string attempt;
    std::string idempotencyKey;
    std::string upstream;
    /// Version or service.
    std::string version;
    /// "running", "finished", "cancelled", "crashed", "failed", "cut", or "refused" (not run).
    std::string outcome = "running";
    int priority = 0;
    /// Index of the first token sent, above 0 for a resumed answer, and tokens sent.
    int firstToken = 0;
    int tokensSent = 0;
    int promptTokens = 0;
};

/// One order that a model runner got.
struct OrderRecord
{
    std::string order;
    std::string upstream;
    std::string kind;
    std::string version;
    std::string role;
    std::string holder;
    std::int64_t fencing = 0;
    bool applied = false;
};

/// Shared with the run while it is in progress, so that the record can be emptied meanwhile.
using RunRecordPtr = std::shared_ptr<RunRecord>;

/// All that the stand-ins saw, for tests to count.
struct Record
{
    std::vector<RunRecordPtr> runs;
    std::vector<OrderRecord> orders;
    /// Calls of the object API by kind.
    std::map<std::string, std::int64_t> objectCalls;
    /// Watches that wait now.
    std::int64_t openWatches = 0;
};

/// The record as JSON.
std::string formatRecord(const Record &record);

} // namespace acaciasail::standins
