#include "kernel/internal/hash.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace acaciasail::kernel {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t rendezvousScore(std::string_view key, std::string_view member)
{
    return hash64(member, hash64(key));
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace acaciasail::kernel
