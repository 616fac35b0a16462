#include "ledger/internal/billmessages.h"

#include <nlohmann/json.hpp>

namespace acaciasail::ledger {

namespace {

using Json = nlohmann::json;

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
        return kernel::fail(kernel::ResultCode::PeerProtocol,
                            std::string("a ledger's message is malformed: ") + error.what());
    }
}

} // namespace

std::string encode(const HoldRequest &request)
{
    Json bills = Json::array();
    for (const HeldBill &bill : request.bills)
        bills.push_back(Json::array({ bill.sequence, bill.id, bill.text, bill.primary }));
    return toBytes({ { "o", request.origin.str() },
                     { "b", request.boot },
                     { "r", std::move(bills) },
                     { "d", request.drops } });
}

std::string encode(const HoldReply &reply)
{
    return toBytes({ { "b", reply.boot }, { "h", reply.held } });
}

std::string encode(const FlushedNotice &notice)
{
    return toBytes({ { "b", notice.boot }, { "s", notice.sequences } });
}

kernel::Result<HoldRequest> decodeHoldRequest(std::string_view bytes)
{
    return fromBytes<HoldRequest>(bytes, [](const Json &json) {
        HoldRequest request;
        request.origin = kernel::VmId(json.at("o").get<std::string>());
        request.boot = json.at("b").get<std::string>();
        for (const Json &bill : json.at("r")) {
            request.bills.push_back({ bill.at(0).get<std::uint64_t>(),
                                      bill.at(1).get<std::string>(), bill.at(2).get<std::string>(),
                                      bill.at(3).get<bool>() });
        }
        request.drops = json.at("d").get<std::vector<std::uint64_t>>();
        return request;
    });
}

kernel::Result<HoldReply> decodeHoldReply(std::string_view bytes)
{
    return fromBytes<HoldReply>(bytes, [](const Json &json) {
        return HoldReply{ json.at("b").get<std::string>(), json.at("h").get<bool>() };
    });
}

kernel::Result<FlushedNotice> decodeFlushedNotice(std::string_view bytes)
{
    return fromBytes<FlushedNotice>(bytes, [](const Json &json) {
        return FlushedNotice{ json.at("b").get<std::string>(),
                              json.at("s").get<std::vector<std::uint64_t>>() };
    });
}

} // namespace acaciasail::ledger
