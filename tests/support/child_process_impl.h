#pragma once

#include <thread>

namespace dandeliondock::testing {

template <typename Condition>
bool eventually(Condition condition, std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds pollInterval{20};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace dandeliondock::testing
