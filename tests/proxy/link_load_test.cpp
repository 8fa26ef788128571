#include <dandeliondock/core/random_source.h>
#include <dandeliondock/proxy/link_schedule.h>

#include <catch2/catch.hpp>

#include <cmath>
#include <functional>
#include <map>
#include <vector>

namespace dandeliondock {
namespace {

// Replay of one target whose instance has a link of 13 Mbit/s. Its downloads need 1.3 times what the link carries; the
// calls that it answers are short, and the requests that made them fail without them.
constexpr DataRate linkRate{1'500'000};
constexpr ByteCount downloadSize{90'000};
constexpr ByteCount callSize{800};
constexpr double downloadsPerSecond = 23;
constexpr double callsPerSecond = 111;
constexpr Milliseconds downloadWork{160};
constexpr Milliseconds callWork{50};
constexpr Milliseconds downloadAim{800};
constexpr Milliseconds downloadDeadline{4'000};
constexpr Milliseconds callDeadline{200};
constexpr Seconds dayLength{20};

struct Outcome
{
    int calls = 0;
    int callsInTime = 0;
    int downloads = 0;
    int downloadsInAim = 0;
    int downloadsRefused = 0;
    int downloadsWasted = 0; ///< delivered after the deadline
};

/// Runs events in the order of their times.
class VirtualTime
{
public:
    void at(MonotonicTime time, std::function<void()> work) { m_events.emplace(time, std::move(work)); }

    void run()
    {
        while (!m_events.empty()) {
            const auto first = m_events.begin();
            now = first->first;
            const auto work = std::move(first->second);
            m_events.erase(first);
            work();
        }
    }

    MonotonicTime now{Seconds(100)};

private:
    std::multimap<MonotonicTime, std::function<void()>> m_events;
};

/// The target, its proxy and the link, which carries bytes in the order in which they are written.
class LinkLoad
{
public:
    explicit LinkLoad(bool isScheduled) : m_isScheduled(isScheduled) {}

    Outcome run()
    {
        arrive(downloadsPerSecond, [this] { startDownload(); });
        arrive(callsPerSecond, [this] { startCall(); });
        m_time.run();
        return m_outcome;
    }

private:
    void arrive(double perSecond, const std::function<void()> &work)
    {
        MonotonicTime time = m_time.now;
        const MonotonicTime end = time + dayLength;
        while (time < end) {
            const double uniform = (static_cast<double>(uniformBelow(m_random, 1'000'000)) + 1) / 1'000'001;
            time += Microseconds(static_cast<std::int64_t>(-std::log(uniform) / perSecond * 1e6));
            m_time.at(time, work);
        }
    }

    // Writes bytes to the link and calls \c delivered when the last one has left it.
    void write(ByteCount bytes, std::function<void()> delivered)
    {
        m_linkFreeAt = std::max(m_linkFreeAt, m_time.now) + m_schedule.transferTime(bytes);
        m_time.at(m_linkFreeAt, std::move(delivered));
    }

    void startCall()
    {
        ++m_outcome.calls;
        const MonotonicTime begin = m_time.now;
        m_time.at(begin + callWork, [this, begin] {
            m_schedule.recordWritten(callSize, m_time.now);
            write(callSize, [this, begin] { m_outcome.callsInTime += m_time.now - begin <= callDeadline ? 1 : 0; });
        });
    }

    void startDownload()
    {
        ++m_outcome.downloads;
        const MonotonicTime begin = m_time.now;
        if (m_isScheduled) {
            if (!m_schedule.admit(downloadSize, begin + downloadAim, begin).isAdmitted) {
                ++m_outcome.downloadsRefused;
                return;
            }
            m_schedule.reserve(downloadSize);
        }
        m_time.at(begin + downloadWork, [this, begin] {
            if (!m_isScheduled) {
                write(downloadSize, [this, begin] { finishDownload(begin); });
                return;
            }
            m_schedule.release(downloadSize);
            const TransferId id = m_schedule.begin(downloadSize);
            m_remaining[id] = {downloadSize.value(), begin};
            m_schedule.request(id);
            grantDue();
        });
    }

    void grantDue()
    {
        while (const auto grant = m_schedule.grant(m_time.now)) {
            Transfer &transfer = m_remaining.at(grant->transfer);
            const ByteCount bytes(std::min(transfer.remaining, grant->bytes.value()));
            transfer.remaining -= bytes.value();
            const bool isLast = transfer.remaining == 0;
            write(bytes, [this, isLast, begin = transfer.begin] {
                if (isLast)
                    finishDownload(begin);
            });
            if (isLast)
                m_schedule.end(grant->transfer);
            else
                m_schedule.request(grant->transfer);
        }
        if (const auto next = m_schedule.nextGrantAt())
            m_time.at(*next, [this] { grantDue(); });
    }

    void finishDownload(MonotonicTime begin)
    {
        const auto latency = m_time.now - begin;
        m_outcome.downloadsInAim += latency <= downloadAim ? 1 : 0;
        m_outcome.downloadsWasted += latency > downloadDeadline ? 1 : 0;
    }

    struct Transfer
    {
        std::uint64_t remaining = 0;
        MonotonicTime begin;
    };

    bool m_isScheduled;
    VirtualTime m_time;
    LinkSchedule m_schedule{linkRate};
    MonotonicTime m_linkFreeAt;
    std::map<TransferId, Transfer> m_remaining;
    RandomSource m_random = seededRandom(20261205);
    Outcome m_outcome;
};

} // namespace

// Guards against short calls that time out behind downloads on a full link: each lost call costs the work of the
// request that made it.
TEST_CASE("on a link that downloads overfill, calls arrive in time and downloads use the whole link", "[proxy]")
{
    const Outcome before = LinkLoad(false).run();
    const Outcome after = LinkLoad(true).run();
    INFO("calls in time " << before.callsInTime << " and " << after.callsInTime << " of " << after.calls
                          << ", downloads in their target latency " << before.downloadsInAim << " and "
                          << after.downloadsInAim << " of " << after.downloads);
    CHECK(after.callsInTime >= after.calls * 99 / 100);
    CHECK(before.callsInTime < before.calls / 4);
    // Three quarters of the downloads are what the link can carry.
    const double carried =
            static_cast<double>(linkRate.value()) / static_cast<double>(downloadSize.value())
            - callsPerSecond * static_cast<double>(callSize.value()) / static_cast<double>(downloadSize.value());
    const double deliverable = carried * static_cast<double>(dayLength.count());
    CHECK(after.downloadsInAim >= deliverable * 0.9);
    CHECK(before.downloadsInAim < after.downloadsInAim / 4);
    CHECK(after.downloadsWasted == 0);
    CHECK(after.downloadsInAim + after.downloadsRefused == after.downloads);
}

} // namespace dandeliondock
