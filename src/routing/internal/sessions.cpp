#include "routing/internal/sessions.h"

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace acaciasail::routing {

namespace {

std::string encodeBase64Url(std::string_view bytes)
{
    std::vector<unsigned char> out(4 * ((bytes.size() + 2) / 3) + 1);
    const int size
        = EVP_EncodeBlock(out.data(), reinterpret_cast<const unsigned char *>(bytes.data()),
                          static_cast<int>(bytes.size()));
    std::string text(out.begin(), out.begin() + size);
    std::ranges::replace(text, '+', '-');
    std::ranges::replace(text, '/', '_');
    text.erase(std::find(text.begin(), text.end(), '='), text.end());
    return text;
}

std::optional<std::string> decodeBase64Url(std::string_view text)
{
    constexpr std::size_t group = 4;
    const bool hasOnlyValidCharacters = std::ranges::all_of(text, [](char c) {
        return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9')
               || c == '-' || c == '_';
    });
    if (!hasOnlyValidCharacters || text.size() % group == 1)
        return std::nullopt;
    std::string padded(text);
    std::ranges::replace(padded, '-', '+');
    std::ranges::replace(padded, '_', '/');
    const std::size_t padding = (group - padded.size() % group) % group;
    padded.append(padding, '=');
    std::vector<unsigned char> out(padded.size() / group * 3 + 1);
    const int size
        = EVP_DecodeBlock(out.data(), reinterpret_cast<const unsigned char *>(padded.data()),
                          static_cast<int>(padded.size()));
    if (size < 0)
        return std::nullopt;
    std::string bytes(out.begin(), out.begin() + size - static_cast<std::ptrdiff_t>(padding));
    // The unused bits of the last character must be zero, so that each pin has exactly one valid
    // text.
    if (encodeBase64Url(bytes) != text)
        return std::nullopt;
    return bytes;
}

std::string signature(std::string_view secret, std::string_view payload)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(payload.data()), payload.size(), digest.data(),
         &size);
    return { digest.begin(), digest.begin() + size };
}

boost::leaf::error_id malformed(std::string_view why)
{
    return kernel::fail(kernel::ResultCode::SessionMalformed, "session id: " + std::string(why));
}

kernel::Result<SessionPin> pinFromJson(const std::string &payload)
{
    const nlohmann::json json = nlohmann::json::parse(payload, nullptr, false);
    const auto hasText
        = [&](const char *name) { return json.contains(name) && json[name].is_string(); };
    if (!json.is_object() || !hasText("workspace") || !hasText("version") || !hasText("session")
        || !json.contains("issued_us") || !json["issued_us"].is_number_integer()) {
        return malformed("a field is missing or of the wrong type");
    }
    return SessionPin{ .workspace = kernel::WorkspaceId(json["workspace"].get<std::string>()),
                       .version = kernel::VersionId(json["version"].get<std::string>()),
                       .issuedAt
                       = kernel::WallTime(kernel::Duration(json["issued_us"].get<std::int64_t>())),
                       .session = kernel::SessionId(json["session"].get<std::string>()) };
}

} // namespace

std::string issueSession(std::string_view secret, const SessionPin &pin, kernel::Random &random)
{
    const std::string name = pin.session.empty() ? kernel::randomId(random, "") : pin.session.str();
    const nlohmann::json json{ { "workspace", pin.workspace.str() },
                               { "version", pin.version.str() },
                               { "session", name },
                               { "issued_us", pin.issuedAt.time_since_epoch().count() } };
    const std::string payload = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return encodeBase64Url(payload) + "." + encodeBase64Url(signature(secret, payload));
}

kernel::Result<SessionPin> readSession(std::string_view secret, std::string_view text)
{
    if (text.size() > maxSessionText)
        return malformed("the text is longer than " + std::to_string(maxSessionText) + " bytes");
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos)
        return malformed("the signature is missing");
    const auto payload = decodeBase64Url(text.substr(0, dot));
    const auto givenSignature = decodeBase64Url(text.substr(dot + 1));
    if (!payload || !givenSignature)
        return malformed("the payload or the signature is not valid base64url");
    if (!kernel::equalInConstantTime(signature(secret, *payload), *givenSignature))
        return malformed("the signature is wrong");
    return pinFromJson(*payload);
}

} // namespace acaciasail::routing
