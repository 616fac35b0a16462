#include "kernel/internal/random.h"

namespace acaciasail::kernel {

std::string randomId(Random &random, const std::string &prefix)
{
    constexpr int idDigits = 32;
    constexpr const char *digits = "0123456789abcdef";
    std::string id = prefix;
    std::uint64_t bits = 0;
    for (int i = 0; i < idDigits; ++i) {
        if (i % 16 == 0)
            bits = random();
        id += digits[bits & 15U];
        bits >>= 4U;
    }
    return id;
}

Random systemRandom()
{
    std::random_device device;
    std::seed_seq seed{ device(), device(), device(), device() };
    return Random(seed);
}

} // namespace acaciasail::kernel
