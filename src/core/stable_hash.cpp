#include <dandeliondock/core/stable_hash.h>

namespace dandeliondock {

namespace {

constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t fnvPrime = 0x100000001b3;

// Finaliser of SplitMix64, needed because FNV-1a alone mixes the high bits poorly for short texts.
std::uint64_t mix(std::uint64_t value) noexcept
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

} // namespace

std::uint64_t stableHash(absl::string_view text, std::uint64_t seed) noexcept
{
    std::uint64_t hash = fnvOffset ^ seed;
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * fnvPrime;
    return mix(hash);
}

std::uint64_t stableCombine(std::uint64_t first, std::uint64_t second) noexcept
{
    return mix(first * fnvPrime + second);
}

} // namespace dandeliondock
