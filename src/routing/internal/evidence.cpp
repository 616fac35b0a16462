#include "routing/internal/evidence.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace acaciasail::routing {

namespace {

using Counter = std::int64_t ArmCounters::*;

// Order of the counters in the wire format. New counters must be appended at the end.
constexpr std::array<Counter, 8> counters{
    &ArmCounters::requests,          &ArmCounters::errors,
    &ArmCounters::latencies,         &ArmCounters::logLatencySum,
    &ArmCounters::logLatencySquares, &ArmCounters::ratings,
    &ArmCounters::ratingSum,         &ArmCounters::ratingSquares
};

void mergeArm(ArmCounters &into, const ArmCounters &from)
{
    for (const Counter counter : counters)
        into.*counter = std::max(into.*counter, from.*counter);
}

nlohmann::json encodeArm(const ArmCounters &arm)
{
    nlohmann::json array = nlohmann::json::array();
    for (const Counter counter : counters)
        array.push_back(arm.*counter);
    return array;
}

kernel::Result<ArmCounters> decodeArm(const nlohmann::json &daemon, const char *name)
{
    ArmCounters arm;
    const auto found = daemon.find(name);
    if (found == daemon.end())
        return arm;
    if (!found->is_array())
        return kernel::fail(kernel::ResultCode::InvalidField,
                            std::string("evidence: ") + name + " is not an array");
    for (std::size_t i = 0; i < std::min(found->size(), counters.size()); ++i) {
        const nlohmann::json &value = (*found)[i];
        if (!value.is_number_integer() || value.get<std::int64_t>() < 0)
            return kernel::fail(kernel::ResultCode::InvalidField,
                                std::string("evidence: a counter of ") + name
                                    + " is not a non-negative integer");
        arm.*counters.at(i) = value.get<std::int64_t>();
    }
    return arm;
}

kernel::Result<DaemonEvidence> decodeDaemon(const nlohmann::json &value)
{
    if (!value.is_object())
        return kernel::fail(kernel::ResultCode::InvalidField,
                            "evidence: the entry of a daemon is not an object");
    DaemonEvidence daemon;
    BOOST_LEAF_ASSIGN(daemon.baseline, decodeArm(value, "baseline"));
    BOOST_LEAF_ASSIGN(daemon.candidate, decodeArm(value, "candidate"));
    const auto halted = value.find("halted");
    daemon.halted = halted != value.end() && halted->is_boolean() && halted->get<bool>();
    return daemon;
}

} // namespace

void mergeEvidence(RolloutEvidence &into, const RolloutEvidence &from)
{
    for (const auto &[daemon, evidence] : from) {
        DaemonEvidence &own = into[daemon];
        mergeArm(own.baseline, evidence.baseline);
        mergeArm(own.candidate, evidence.candidate);
        own.halted = own.halted || evidence.halted;
    }
}

std::string encodeEvidence(const kernel::RolloutId &rollout, const RolloutEvidence &evidence)
{
    nlohmann::json daemons = nlohmann::json::object();
    for (const auto &[daemon, part] : evidence) {
        daemons[daemon] = { { "baseline", encodeArm(part.baseline) },
                            { "candidate", encodeArm(part.candidate) },
                            { "halted", part.halted } };
    }
    return nlohmann::json{ { "rollout", rollout.str() }, { "daemons", std::move(daemons) } }.dump();
}

kernel::Result<DecodedEvidence> decodeEvidence(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        return kernel::fail(kernel::ResultCode::MalformedJson, "evidence is not well-formed JSON");
    if (!json.is_object() || !json.contains("rollout") || !json["rollout"].is_string()
        || !json.contains("daemons") || !json["daemons"].is_object()) {
        return kernel::fail(kernel::ResultCode::InvalidField,
                            "evidence needs a string \"rollout\" and an object \"daemons\"");
    }
    DecodedEvidence decoded{ .rollout = kernel::RolloutId(json["rollout"].get<std::string>()) };
    for (const auto &[daemon, part] : json["daemons"].items()) {
        BOOST_LEAF_ASSIGN(decoded.evidence[daemon], decodeDaemon(part));
    }
    return decoded;
}

} // namespace acaciasail::routing
