#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/kernel.h"
#include "table/table.h"

namespace acaciasail::ledger {

/// What one request costs its caller. There is one bill for each request, whatever its attempts.
struct BillRecord
{
    /// Decides equality: records of the same id are the same bill.
    kernel::BillId id;
    kernel::RequestId request;
    kernel::WorkspaceId workspace;
    kernel::CallerId caller;
    /// Set on a completion: the version that gave the answer.
    kernel::VersionId version;
    /// Set on a call of a plain service.
    kernel::ServiceName service;
    table::Rank rank = table::Rank::Normal;
    /// Of all versions that ran for the answer, the cheap one of a cascade too.
    kernel::Tokens inputTokens;
    kernel::Tokens outputTokens;
    kernel::MicroCurrency cost;
    kernel::WallTime at;

    friend bool operator==(const BillRecord &, const BillRecord &) = default;
};

/// A record as the JSON text that stands in a batch.
std::string toJsonText(const BillRecord &record);

/// A batch of records, as it is written to the store.
struct BillBatch
{
    /// The same for the same records in any order.
    std::string key;
    std::string value;
};

/// Joins the JSON texts of records into a batch; `ids` are theirs.
BillBatch makeBatch(std::vector<std::string> ids, const std::vector<std::string> &texts);

/// Reads a batch's value. Errors: PlatformProtocol.
kernel::Result<std::vector<BillRecord>> parseBatch(std::string_view value);

/// Prefix of the batches' keys in the store.
constexpr std::string_view billPrefix = "bills/";

/// Bills read back from batches, each once.
using BillSet = std::map<kernel::BillId, BillRecord>;

/// Adds a batch's records to a set; those already there are passed by. Errors: PlatformProtocol.
kernel::Result<void> addBatch(BillSet &bills, std::string_view value);

/// Sum of some bills.
struct BillTotal
{
    std::int64_t requests = 0;
    kernel::Tokens inputTokens;
    kernel::Tokens outputTokens;
    kernel::MicroCurrency cost;
};

enum class BillGrouping {
    Workspace,
    Caller,
    Version,
    Service,
    Rank,
};

/// Totals by the chosen column's value.
std::map<std::string, BillTotal> totalsBy(const BillSet &bills, BillGrouping grouping);

/// The name of a rank in records: "urgent", "normal" or "flex".
std::string_view rankName(table::Rank rank);

} // namespace acaciasail::ledger
