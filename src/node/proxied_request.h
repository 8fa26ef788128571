#pragma once

#include <dandeliondock/attempts/attempt_plan.h>
#include <dandeliondock/node/ingress.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandeliondock::impl {

/// \brief One attempt: the session that reserves a slot on the target, and the call to the target.
struct Attempt
{
    std::shared_ptr<TargetSession> session;
    std::shared_ptr<HttpCall> call;
    MonotonicTime startedAt;
    bool concluded = false;
};

/// \brief One caller's request from its arrival to its response, with its retries and hedges. Used only by the thread
/// of the caller's connection.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
    ProxiedRequest(std::shared_ptr<const IngressDependencies> dependencies, HttpRequest request,
                   CallerConnection caller);
    ~ProxiedRequest();

    ProxiedRequest(const ProxiedRequest &) = delete;
    ProxiedRequest &operator=(const ProxiedRequest &) = delete;

    /// \brief Handles the request and returns the response. A streamed response keeps this object alive until its body
    /// ends.
    [[nodiscard]] StreamableResponse run();

private:
    [[nodiscard]] MonotonicTime now() const { return m_dependencies->time.monotonic(); }
    [[nodiscard]] StreamableResponse runAttempts();
    [[nodiscard]] AttemptAction send();
    [[nodiscard]] AttemptAction waitForAttempt();
    [[nodiscard]] std::optional<std::size_t> finishedAttempt() const;
    [[nodiscard]] AttemptAction conclude(std::size_t index);
    void countExtraAttempt();
    [[nodiscard]] HttpRequest targetRequest() const;
    void markSentAttempts();
    [[nodiscard]] std::optional<std::size_t> streamableAttempt() const;
    [[nodiscard]] AttemptResult resultOf(const HttpCall &call) const;
    [[nodiscard]] AttemptOutcome outcomeOf(const Attempt &attempt, AttemptResult result) const;
    void report(Attempt &attempt, AttemptResult result);
    static void abandon(Attempt &attempt);
    void endOpenAttempts(AttemptResult result);
    [[nodiscard]] StreamableResponse respond(std::size_t index);
    [[nodiscard]] StreamableResponse streamResponse(std::size_t index);
    [[nodiscard]] absl::StatusOr<std::size_t> readBody(std::size_t index, char *buffer, std::size_t size);
    [[nodiscard]] StreamableResponse refuse(ExecutionState verdict, const absl::Status &reason);
    [[nodiscard]] absl::Status refusalReason() const;

    std::shared_ptr<const IngressDependencies> m_dependencies;
    HttpRequest m_request;
    CallerConnection m_caller;
    MonotonicTime m_startedAt;
    RouteMatch m_match;
    std::optional<Deadline> m_deadline;
    bool m_callerSetDeadline = false;
    std::optional<AttemptPlan> m_plan;
    std::vector<Attempt> m_attempts;
    absl::Status m_lastFailure;
};

} // namespace dandeliondock::impl
