#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace acaciasail::kernel {

/// A stable 64-bit hash, the same in every process and release.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// The score of a member for a key in rendezvous hashing; the member with the highest owns the key.
std::uint64_t rendezvousScore(std::string_view key, std::string_view member);

/// The SHA-256 digest of a text, in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

/// Compares two texts in a time that depends on their lengths only.
bool equalInConstantTime(std::string_view a, std::string_view b);

} // namespace acaciasail::kernel
