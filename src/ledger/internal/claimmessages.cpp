#include "ledger/internal/claimmessages.h"

#include <nlohmann/json.hpp>

namespace acaciasail::ledger {

namespace {

using Json = nlohmann::json;
using kernel::ResultCode;

std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

/// Decodes CBOR with a reader that throws where a field is missing or of a wrong type.
template<class T, class Reader>
kernel::Result<T> fromBytes(std::string_view bytes, const Reader &reader)
{
    try {
        return reader(Json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const Json::exception &error) {
        return kernel::fail(ResultCode::PeerProtocol,
                            std::string("a message on claims is malformed: ") + error.what());
    }
}

Json answerToJson(const HeldAnswer &answer)
{
    return Json::array({ answer.status, answer.contentType, answer.body });
}

HeldAnswer answerFromJson(const Json &json)
{
    return { json.at(0).get<int>(), json.at(1).get<std::string>(), json.at(2).get<std::string>() };
}

Json entryToJson(const ClaimEntry &entry, bool withAnswer)
{
    Json json = Json::array({ entry.key, entry.fingerprint, entry.claimant, entry.runner.str(),
                              entry.version, static_cast<int>(entry.state),
                              entry.at.time_since_epoch().count() });
    if (withAnswer && entry.answer.status != 0)
        json.push_back(answerToJson(entry.answer));
    return json;
}

ClaimEntry entryFromJson(const Json &json)
{
    constexpr std::size_t answerPlace = 7;
    ClaimEntry entry;
    entry.key = json.at(0).get<std::string>();
    entry.fingerprint = json.at(1).get<std::string>();
    entry.claimant = json.at(2).get<std::string>();
    entry.runner = kernel::VmId(json.at(3).get<std::string>());
    entry.version = json.at(4).get<std::uint64_t>();
    entry.state = static_cast<ClaimState>(json.at(5).get<int>());
    entry.at = kernel::WallTime(kernel::Duration(json.at(6).get<std::int64_t>()));
    if (json.size() > answerPlace)
        entry.answer = answerFromJson(json.at(answerPlace));
    return entry;
}

Json entriesToJson(const ClaimEntries &entries, bool withAnswers)
{
    Json list = Json::array();
    for (const auto &[key, entry] : entries)
        list.push_back(entryToJson(entry, withAnswers));
    return list;
}

ClaimEntries entriesFromJson(const Json &list)
{
    ClaimEntries entries;
    for (const Json &json : list) {
        ClaimEntry entry = entryFromJson(json);
        std::string key = entry.key;
        entries.insert_or_assign(std::move(key), std::move(entry));
    }
    return entries;
}

Json idToJson(const EpochId &id)
{
    return Json::array({ id.epoch, id.ownerBoot });
}

EpochId idFromJson(const Json &json)
{
    return { json.at(0).get<std::uint64_t>(), json.at(1).get<std::string>() };
}

Json memberToJson(const ClaimMember &member)
{
    return { { "vm", member.vm.str() }, { "boot", member.boot } };
}

ClaimMember memberFromJson(const Json &json)
{
    return { kernel::VmId(json.at("vm").get<std::string>()), json.at("boot").get<std::string>() };
}

} // namespace

std::string encode(const ClaimAsk &ask)
{
    return toBytes({ { "r", ask.range }, { "e", entryToJson(ask.entry, true) } });
}

std::string encode(const ClaimReply &reply)
{
    return toBytes({ { "k", static_cast<int>(reply.kind) },
                     { "o", reply.owner.str() },
                     { "a", answerToJson(reply.answer) } });
}

std::string encode(const WitnessRequest &request)
{
    return toBytes({ { "r", request.range },
                     { "t", idToJson(request.id) },
                     { "o", request.owner.str() },
                     { "i", request.install },
                     { "b", request.witnessBoot },
                     { "e", entriesToJson(request.entries, true) } });
}

std::string encode(const WitnessReply &reply)
{
    return toBytes({ { "b", reply.boot }, { "a", reply.accepted } });
}

std::string encode(const DenyRequest &request)
{
    return toBytes({ { "r", request.range }, { "t", idToJson(request.id) } });
}

std::string encode(const DenyReply &reply)
{
    return toBytes({ { "b", reply.boot },
                     { "i", reply.intact },
                     { "e", entriesToJson(reply.entries, true) } });
}

kernel::Result<ClaimAsk> decodeClaimAsk(std::string_view bytes)
{
    return fromBytes<ClaimAsk>(bytes, [](const Json &json) {
        return ClaimAsk{ json.at("r").get<int>(), entryFromJson(json.at("e")) };
    });
}

kernel::Result<ClaimReply> decodeClaimReply(std::string_view bytes)
{
    return fromBytes<ClaimReply>(bytes, [](const Json &json) {
        return ClaimReply{ static_cast<ClaimReplyKind>(json.at("k").get<int>()),
                           kernel::VmId(json.at("o").get<std::string>()),
                           answerFromJson(json.at("a")) };
    });
}

kernel::Result<WitnessRequest> decodeWitnessRequest(std::string_view bytes)
{
    return fromBytes<WitnessRequest>(bytes, [](const Json &json) {
        WitnessRequest request;
        request.range = json.at("r").get<int>();
        request.id = idFromJson(json.at("t"));
        request.owner = kernel::VmId(json.at("o").get<std::string>());
        request.install = json.at("i").get<bool>();
        request.witnessBoot = json.at("b").get<std::string>();
        request.entries = entriesFromJson(json.at("e"));
        return request;
    });
}

kernel::Result<WitnessReply> decodeWitnessReply(std::string_view bytes)
{
    return fromBytes<WitnessReply>(bytes, [](const Json &json) {
        return WitnessReply{ json.at("b").get<std::string>(), json.at("a").get<bool>() };
    });
}

kernel::Result<DenyRequest> decodeDenyRequest(std::string_view bytes)
{
    return fromBytes<DenyRequest>(bytes, [](const Json &json) {
        return DenyRequest{ json.at("r").get<int>(), idFromJson(json.at("t")) };
    });
}

kernel::Result<DenyReply> decodeDenyReply(std::string_view bytes)
{
    return fromBytes<DenyReply>(bytes, [](const Json &json) {
        return DenyReply{ json.at("b").get<std::string>(), json.at("i").get<bool>(),
                          entriesFromJson(json.at("e")) };
    });
}

std::string rangeKey(int range)
{
    return "claims/" + std::to_string(range);
}

std::string toJsonText(const RangeObject &object)
{
    Json witnesses = Json::array();
    for (const ClaimMember &witness : object.witnesses)
        witnesses.push_back(memberToJson(witness));
    const Json json = { { "epoch", object.epoch },
                        { "owner", memberToJson(object.owner) },
                        { "witnesses", std::move(witnesses) },
                        { "uncertain_until", object.uncertainUntil.time_since_epoch().count() },
                        { "claims", entriesToJson(object.entries, false) } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

kernel::Result<RangeObject> parseRangeObject(std::string_view text)
{
    try {
        const Json json = Json::parse(text.begin(), text.end());
        RangeObject object;
        object.epoch = json.at("epoch").get<std::uint64_t>();
        object.owner = memberFromJson(json.at("owner"));
        for (const Json &witness : json.at("witnesses"))
            object.witnesses.push_back(memberFromJson(witness));
        object.uncertainUntil
            = kernel::WallTime(kernel::Duration(json.at("uncertain_until").get<std::int64_t>()));
        object.entries = entriesFromJson(json.at("claims"));
        return object;
    } catch (const Json::exception &error) {
        return kernel::fail(ResultCode::PlatformProtocol,
                            std::string("a range of claims is malformed: ") + error.what());
    }
}

} // namespace acaciasail::ledger
