#include <array>

#include <nlohmann/json.hpp>

#include "ctl/commands.h"
#include "ctl/texttable.h"
#include "ledger/ledger.h"

namespace acaciasail::ctl {

namespace {

using Json = nlohmann::ordered_json;

struct Grouping
{
    ledger::BillGrouping grouping;
    const char *name;
};

constexpr std::array groupings{
    Grouping{ ledger::BillGrouping::Workspace, "workspace" },
    Grouping{ ledger::BillGrouping::Caller, "caller" },
    Grouping{ ledger::BillGrouping::Version, "version" },
    Grouping{ ledger::BillGrouping::Service, "service" },
    Grouping{ ledger::BillGrouping::Rank, "rank" },
};

Json toJson(const ledger::BillTotal &total)
{
    return { { "requests", total.requests },
             { "input_tokens", total.inputTokens.count() },
             { "output_tokens", total.outputTokens.count() },
             { "cost_micro", total.cost.count() } };
}

void printTotals(Session &session, const ledger::BillSet &bills, const Grouping &grouping)
{
    std::vector<std::vector<std::string>> lines{ { grouping.name, "requests", "input_tokens",
                                                   "output_tokens", "cost_micro" } };
    for (const auto &[group, total] : totalsBy(bills, grouping.grouping)) {
        lines.push_back({ group.empty() ? "-" : group, std::to_string(total.requests),
                          std::to_string(total.inputTokens.count()),
                          std::to_string(total.outputTokens.count()),
                          std::to_string(total.cost.count()) });
    }
    printTable(session.out(), lines);
    session.out() << "\n";
}

} // namespace

ExitCode runBills(Session &session)
{
    if (const auto missing = session.requirePlatform())
        return *missing;
    const auto list = session.wait<externals::ObjectList>([&](auto callback) {
        session.platform().objects.list(std::string(ledger::billPrefix), callback);
    });
    if (!list.ok())
        return session.fail(list.error());
    ledger::BillSet bills;
    for (const externals::StoredObject &object : list.value().objects) {
        const auto added = kernel::capture([&] { return ledger::addBatch(bills, object.value); });
        if (!added.ok())
            return session.fail({ added.error().code, object.key + ": " + added.error().message });
    }
    if (!session.options().json) {
        session.out() << bills.size() << " bills in " << list.value().objects.size()
                      << " batches\n\n";
        for (const Grouping &grouping : groupings)
            printTotals(session, bills, grouping);
        return ExitCode::Ok;
    }
    Json json = { { "bills", bills.size() } };
    for (const Grouping &grouping : groupings) {
        Json &totals = json[std::string("by_") + grouping.name] = Json::object();
        for (const auto &[group, total] : totalsBy(bills, grouping.grouping))
            totals[group] = toJson(total);
    }
    session.out() << json.dump(2) << "\n";
    return ExitCode::Ok;
}

} // namespace acaciasail::ctl
