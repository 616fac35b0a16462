#include "scenario.h"

#include <sstream>

#include <nlohmann/json.hpp>
#include <toml++/toml.h>

namespace acaciasail::scenarios {

namespace {

// Keys that a table of a scenario may have; others are mistakes.
bool hasOnly(const toml::table &table, std::initializer_list<std::string_view> known,
             std::string &unknown)
{
    for (const auto &[key, node] : table) {
        if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
            unknown = key.str();
            return false;
        }
    }
    return true;
}

std::string text(const toml::table &table, std::string_view key, const std::string &fallback = {})
{
    return table[key].value_or(fallback);
}

kernel::Duration milliseconds(const toml::table &table, std::string_view key,
                              kernel::Duration fallback)
{
    return std::chrono::milliseconds(
        table[key].value_or<std::int64_t>(kernel::toMilliseconds(fallback)));
}

auto invalid(const std::string &message)
{
    return kernel::fail(kernel::ResultCode::SettingsInvalid, message);
}

kernel::Result<Traffic> readTraffic(const toml::table &table)
{
    std::string unknown;
    if (!hasOnly(table,
                 { "name", "key", "daemons", "count", "start_ms", "interval_ms", "service", "model",
                   "tier", "kind", "text", "stream", "max_tokens", "sends", "send_gap_ms",
                   "idempotency_key", "session" },
                 unknown))
        return invalid("traffic has an unknown key \"" + unknown + "\"");
    Traffic traffic;
    traffic.name = text(table, "name");
    traffic.key = text(table, "key");
    if (const toml::array *daemons = table["daemons"].as_array()) {
        for (const toml::node &node : *daemons)
            traffic.daemons.push_back(static_cast<int>(node.value_or<std::int64_t>(0)));
    }
    traffic.count = table["count"].value_or(0);
    traffic.start = milliseconds(table, "start_ms", traffic.start);
    traffic.interval = milliseconds(table, "interval_ms", traffic.interval);
    traffic.service = text(table, "service");
    traffic.model = text(table, "model", traffic.model);
    traffic.tier = text(table, "tier", traffic.tier);
    traffic.kind = text(table, "kind");
    traffic.text = text(table, "text", traffic.text);
    traffic.stream = table["stream"].value_or(false);
    traffic.maxTokens = table["max_tokens"].value_or(traffic.maxTokens);
    traffic.sends = table["sends"].value_or(traffic.sends);
    traffic.sendGap = milliseconds(table, "send_gap_ms", traffic.sendGap);
    traffic.idempotencyKey = table["idempotency_key"].value_or(false);
    traffic.session = table["session"].value_or(false);
    if (traffic.name.empty() || traffic.key.empty() || traffic.daemons.empty() || traffic.count < 1)
        return invalid("traffic needs name, key, daemons and count");
    return traffic;
}

kernel::Result<Step> readStep(const toml::table &table)
{
    std::string unknown;
    if (!hasOnly(table, { "at_ms", "fault", "signal", "daemon", "table", "row", "column", "value" },
                 unknown))
        return invalid("a step has an unknown key \"" + unknown + "\"");
    Step step;
    step.at = milliseconds(table, "at_ms", step.at);
    if (const toml::table *fault = table["fault"].as_table()) {
        std::ostringstream json;
        json << toml::json_formatter(*fault);
        step.fault = json.str();
    }
    step.signal = text(table, "signal");
    step.daemon = table["daemon"].value_or(0);
    step.table = text(table, "table");
    step.row = text(table, "row");
    step.column = text(table, "column");
    step.value = text(table, "value");
    if (step.fault.empty() && step.signal.empty() && step.table.empty())
        return invalid("a step needs fault, signal or table");
    return step;
}

kernel::Result<Expectation> readExpectation(const toml::table &table)
{
    Expectation expectation;
    expectation.figure = text(table, "figure");
    const bool most = table.contains("at_most");
    expectation.atMost = most;
    if (expectation.figure.empty() || most == table.contains("at_least"))
        return invalid("an expectation needs figure and one of at_most and at_least");
    expectation.bound = table[most ? "at_most" : "at_least"].value_or(0.0);
    return expectation;
}

template<class Item, class Read>
kernel::Result<void> readEach(const toml::table &root, std::string_view key, Read read,
                              std::vector<Item> &items)
{
    const toml::array *array = root[key].as_array();
    if (array == nullptr)
        return {};
    for (const toml::node &node : *array) {
        const toml::table *table = node.as_table();
        if (table == nullptr)
            return invalid("\"" + std::string(key) + "\" must be a list of tables");
        BOOST_LEAF_AUTO(item, read(*table));
        items.push_back(std::move(item));
    }
    return {};
}

} // namespace

kernel::Result<Scenario> readScenario(const std::string &file)
{
    toml::table root;
    try {
        root = toml::parse_file(file);
    } catch (const toml::parse_error &error) {
        return kernel::fail(kernel::ResultCode::SettingsUnreadable,
                            file + ": " + std::string(error.description()));
    }
    Scenario scenario;
    scenario.name = text(root, "name");
    scenario.deployment = text(root, "deployment");
    scenario.settle = milliseconds(root, "settle_ms", scenario.settle);
    BOOST_LEAF_CHECK(readEach(root, "traffic", readTraffic, scenario.traffic));
    BOOST_LEAF_CHECK(readEach(root, "step", readStep, scenario.steps));
    BOOST_LEAF_CHECK(readEach(root, "expect", readExpectation, scenario.expectations));
    if (scenario.name.empty() || scenario.expectations.empty())
        return invalid(file + ": a scenario needs a name and expectations");
    return scenario;
}

} // namespace acaciasail::scenarios
