#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "driver.h"

namespace acaciasail::scenarios {

namespace {

using Json = nlohmann::json;

constexpr double p95 = 0.95;

// What the stand-ins saw of each request and each idempotency key, and the bills of each request.
struct Ledger
{
    std::map<std::string, int> runsOfRequest;
    std::map<std::string, int> runsOfKey;
    std::map<std::string, std::set<std::string>> billsOfRequest;
    /// Versions that ran a request.
    std::map<std::string, std::set<std::string>> versionsOfRequest;
    std::map<std::string, int> crashedRunsOfRequest;
};

Ledger readLedger(const Outcome &outcome)
{
    Ledger ledger;
    const Json record = Json::parse(outcome.record, nullptr, false);
    for (const Json &run : record.value("runs", Json::array())) {
        if (run.value("outcome", "") == "refused")
            continue;
        ++ledger.runsOfRequest[run.value("request", "")];
        ledger.versionsOfRequest[run.value("request", "")].insert(run.value("version", ""));
        if (run.value("outcome", "") == "crashed")
            ++ledger.crashedRunsOfRequest[run.value("request", "")];
        const std::string key = run.value("idempotency_key", "");
        if (!key.empty())
            ++ledger.runsOfKey[key];
    }
    const Json objects = Json::parse(outcome.bills, nullptr, false);
    for (const Json &object : objects.value("objects", Json::array())) {
        const Json batch = Json::parse(object.value("value", ""), nullptr, false);
        for (const Json &bill : batch.value("records", Json::array()))
            ledger.billsOfRequest[bill.value("request", "")].insert(bill.value("bill", ""));
    }
    return ledger;
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

// Figures of some sendings; the names get the prefix.
void addTrafficFigures(const std::vector<const Sending *> &sendings, const Ledger &ledger,
                       const std::string &prefix, std::map<std::string, double> &figures)
{
    double answered = 0;
    double refused = 0;
    double unknown = 0;
    std::vector<double> total;
    std::set<std::string> versions;
    for (const Sending *sending : sendings) {
        answered += sending->answered ? 1 : 0;
        refused += sending->runState == "not_run" ? 1 : 0;
        unknown += !sending->answered && sending->runState != "not_run" ? 1 : 0;
        figures[prefix + "wrong_answers"] += sending->wrong ? 1 : 0;
        figures[prefix + "unanswered"] += sending->ended ? 0 : 1;
        const bool ran = ledger.runsOfRequest.contains(sending->request);
        figures[prefix + "not_run_that_ran"] += sending->runState == "not_run" && ran ? 1 : 0;
        const auto crashed = ledger.crashedRunsOfRequest.find(sending->request);
        figures[prefix + "crashed_runs"]
            += crashed == ledger.crashedRunsOfRequest.end() ? 0 : crashed->second;
        const auto ranOn = ledger.versionsOfRequest.find(sending->request);
        if (ranOn != ledger.versionsOfRequest.end()) {
            for (const std::string &version : ranOn->second)
                figures[std::string(prefix).append("runs_of_version.").append(version)] += 1;
        }
        const auto bills = ledger.billsOfRequest.find(sending->request);
        const std::size_t count = bills == ledger.billsOfRequest.end() ? 0 : bills->second.size();
        figures[prefix + "double_bills"] += count > 1 ? 1 : 0;
        const bool own = sending->answered && !sending->replayed;
        figures[prefix + "lost_bills"] += own && count == 0 ? 1 : 0;
        if (sending->answered) {
            total.push_back(kernel::toSeconds(sending->total) * 1000);
            versions.insert(sending->version);
        }
    }
    const double count = std::max<double>(1, static_cast<double>(sendings.size()));
    figures[prefix + "answered_share"] = answered / count;
    figures[prefix + "refused_share"] = refused / count;
    figures[prefix + "unknown_share"] = unknown / count;
    figures[prefix + "p95_ms"] = quantile(total, p95);
    figures[prefix + "versions"] = static_cast<double>(versions.size());
}

} // namespace

std::map<std::string, double> figuresOf(const Scenario &scenario, const Outcome &outcome)
{
    const Ledger ledger = readLedger(outcome);
    std::map<std::string, double> figures;
    std::vector<const Sending *> all;
    for (const Sending &sending : outcome.sendings)
        all.push_back(&sending);
    addTrafficFigures(all, ledger, "", figures);
    for (const Traffic &traffic : scenario.traffic) {
        std::vector<const Sending *> own;
        std::ranges::copy_if(all, std::back_inserter(own), [&](const Sending *sending) {
            return sending->traffic == traffic.name;
        });
        addTrafficFigures(own, ledger, traffic.name + ".", figures);
    }
    figures["second_runs"] = 0;
    for (const auto &[key, runs] : ledger.runsOfKey)
        figures["second_runs"] += runs > 1 ? 1 : 0;
    figures["problems"] = static_cast<double>(outcome.problems.size());
    return figures;
}

} // namespace acaciasail::scenarios
