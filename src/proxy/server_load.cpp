#include <dandeliondock/core/checked_number.h>
#include <dandeliondock/proxy/server_load.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <array>

namespace dandeliondock {

std::optional<ServerLoad> parseServerLoad(absl::string_view header)
{
    std::array<std::uint32_t, 4> numbers{};
    std::size_t count = 0;
    for (const absl::string_view part : absl::StrSplit(header, ',')) {
        std::int64_t number = 0;
        if (count == numbers.size() || !absl::SimpleAtoi(absl::StripAsciiWhitespace(part), &number))
            return std::nullopt;
        const auto checked = checkedCount(number);
        if (!checked)
            return std::nullopt;
        numbers.at(count++) = *checked;
    }
    if (count < numbers.size() - 1 || numbers[2] == 0 || numbers[3] > maxWorkPercent)
        return std::nullopt;
    return ServerLoad{numbers[0], numbers[1], numbers[2], numbers[3]};
}

} // namespace dandeliondock
