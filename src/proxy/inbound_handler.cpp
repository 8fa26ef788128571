#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/inbound_handler.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace impl {

struct InboundJob
{
    InboundRequest request;
    InboundResultHandler handler; ///< null once the job has ended
    WaiterId waiter;
    LoopTimer queueTimer;
    AsyncHttpCall call;
    MonotonicTime arrivedAt;
    MonotonicTime startedAt;
    bool isRunning = false;
};

} // namespace impl

namespace {

constexpr int firstServerError = 500;
constexpr int misdirected = 421;

} // namespace

InboundHandler::InboundHandler(InboundHandlerDependencies parts)
    : m_parts(std::move(parts)), m_firstRuns(m_parts.metrics->counter("door_runs_total", "first")),
      m_repeatedRuns(m_parts.metrics->counter("door_runs_total", "repeat"))
{
}

InboundHandler::~InboundHandler() = default;

InboundRefusal InboundHandler::refusalFor(const InboundRequest &request, MonotonicTime now) const
{
    if (m_isStopped || !m_target.acceptsRequests())
        return InboundRefusal::Leaving;
    const TargetAnnouncement &target = *m_target.current();
    if (target.target != request.target || target.service != request.service)
        return InboundRefusal::OtherTarget;
    const ServiceVersions *versions = m_parts.versions(request.service);
    if (versions != nullptr && !mayServe(*versions, target.version))
        return InboundRefusal::OtherVersion;
    return now >= request.deadline ? InboundRefusal::Late : InboundRefusal::None;
}

InboundJobPtr InboundHandler::handle(InboundRequest request, InboundResultHandler handler)
{
    auto job = std::make_shared<impl::InboundJob>();
    job->request = std::move(request);
    job->handler = std::move(handler);
    ++m_jobs;
    const MonotonicTime now = EventLoop::now();
    job->arrivedAt = now;
    if (const InboundRefusal refusal = refusalFor(job->request, now); refusal != InboundRefusal::None) {
        refuse(job, refusal, Microseconds{0});
        return job;
    }
    job->waiter = WaiterId(++m_lastId);
    const MonotonicTime latest = std::min(job->request.deadline, job->request.softDeadline);
    const InboundAdmission admission =
            m_queue.offer(job->waiter, {job->request.route, job->request.workClass}, latest, now);
    if (admission.verdict == InboundVerdict::Run) {
        run(job);
    } else if (admission.verdict == InboundVerdict::Refuse) {
        refuse(job, InboundRefusal::Busy, admission.retryAfter);
    } else {
        m_waiting[job->waiter] = job;
        job->queueTimer = m_parts.loop->after(latest - now, [this, weak = std::weak_ptr(job)] {
            if (const auto waiting = weak.lock(); waiting && m_waiting.erase(waiting->waiter) > 0) {
                m_queue.withdraw(waiting->waiter);
                refuse(waiting, InboundRefusal::Late, Microseconds{0});
            }
        });
    }
    if (admission.displaced) {
        const auto displaced = m_waiting.find(*admission.displaced);
        if (displaced != m_waiting.end()) {
            const InboundJobPtr other = displaced->second;
            m_waiting.erase(displaced);
            refuse(other, InboundRefusal::Displaced, Microseconds{0});
        }
    }
    return job;
}

void InboundHandler::refuse(const InboundJobPtr &job, InboundRefusal refusal, Microseconds retryAfter)
{
    m_parts.metrics->counter("door_refusals_total", inboundRefusalName(refusal)).add();
    InboundResult reply;
    reply.refusal = refusal;
    reply.retryAfter = retryAfter;
    finish(job, std::move(reply));
}

void InboundHandler::run(const InboundJobPtr &job)
{
    job->queueTimer.cancel();
    job->startedAt = EventLoop::now();
    InboundRequest &request = job->request;
    const auto left = std::chrono::duration_cast<Milliseconds>(request.deadline - job->startedAt).count();
    if (left <= 0) {
        m_queue.recordFinished(job->request.route, std::nullopt);
        refuse(job, InboundRefusal::Late, Microseconds{0});
        runNext();
        return;
    }
    request.request.headers.set(m_parts.protocol.timeBudget, absl::StrCat(left));
    request.request.headers.set(m_parts.protocol.expectTarget, request.target.value());
    AsyncCallOptions options;
    options.deadline = request.deadline + targetResponseGrace;
    options.maxConnectionIdle = request.isIdempotent ? reuseIdleLimit : nonIdempotentReuseIdleLimit;
    options.correlationHeader = m_parts.protocol.requestId;
    (request.isRepeat ? m_repeatedRuns : m_firstRuns).add();
    noteRunning(*job, true);
    job->call = m_parts.client->send(m_parts.target, request.request, options,
                                     [this, job](AsyncCallResult result) { ended(job, std::move(result)); });
}

Share InboundHandler::repeatedPart() const noexcept
{
    return m_running == 0 ? noShare : Share(m_repeats * fullShare.value() / m_running);
}

void InboundHandler::noteRunning(impl::InboundJob &job, bool isRunning)
{
    job.isRunning = isRunning;
    m_running += isRunning ? 1 : -1;
    if (job.request.isRepeat)
        m_repeats += isRunning ? 1 : -1;
}

void InboundHandler::ended(const InboundJobPtr &job, AsyncCallResult result)
{
    noteRunning(*job, false);
    const Microseconds latency = EventLoop::now() - job->startedAt;
    InboundResult reply = replyOf(*job, std::move(result));
    if (reply.outcome == ForwardOutcome::Failed && hasCallFailed(*job))
        reply.outcome = ForwardOutcome::CallFailed;
    m_queue.recordFinished(job->request.route, hasResponse(reply.outcome) ? std::optional(latency) : std::nullopt);
    report(*job, reply, latency);
    finish(job, std::move(reply));
    runNext();
}

// Calls do not name the request that they belong to; a target fails at once when one of its calls does.
bool InboundHandler::hasCallFailed(const impl::InboundJob &job) const
{
    return m_parts.lastDependencyFailure() >= std::max(job.startedAt, EventLoop::now() - dependencyFailureWindow);
}

InboundResult InboundHandler::replyOf(const impl::InboundJob &job, AsyncCallResult result) const
{
    if (result.status.ok())
        return judgeResponse(std::move(result.response));
    InboundResult reply;
    reply.detail = std::string(errorDetail(result.status));
    if (!result.maybeSent) {
        reply.outcome = ForwardOutcome::NotSent;
        reply.refusal = InboundRefusal::Unreachable;
    } else if (EventLoop::now() >= job.request.deadline) {
        reply.outcome = ForwardOutcome::TimedOut;
    } else {
        reply.outcome = ForwardOutcome::MayHaveRun;
    }
    return reply;
}

// A success that lacks the target's seal, or is encoded although nobody asked for it, is not the target's response.
InboundResult InboundHandler::judgeResponse(HttpResponse response) const
{
    InboundResult reply;
    if (response.headers.first(m_parts.protocol.notExecuted) || response.status == misdirected) {
        reply.outcome = ForwardOutcome::NotRun;
        reply.detail = absl::StrCat("status ", response.status);
        return reply;
    }
    const bool isSealed = response.headers.first(m_parts.protocol.seal).has_value();
    const bool isEncoded = response.headers.first("Content-Encoding").has_value();
    if (isEncoded || !isSealed) {
        reply.outcome = ForwardOutcome::MayHaveRun;
        reply.detail = absl::StrCat("status ", response.status, isEncoded ? " with an encoding" : " without a seal");
        return reply;
    }
    removeHopByHopHeaders(response.headers);
    reply.outcome = response.status >= firstServerError ? ForwardOutcome::Failed : ForwardOutcome::Answered;
    reply.response = std::move(response);
    return reply;
}

void InboundHandler::report(const impl::InboundJob &job, const InboundResult &reply, Microseconds latency)
{
    const ServiceVersions *versions = m_parts.versions(job.request.service);
    if (versions == nullptr || !versions->rollout || versions->rollout->record.state != RolloutState::Running
        || !m_target.current())
        return;
    AttemptReport report;
    report.route = job.request.route;
    report.service = job.request.service;
    report.target = job.request.target;
    report.version = m_target.current()->version;
    report.newVersion = report.version == versions->rollout->target;
    report.servingSince = m_target.servingSince();
    report.outcome.latency = latency;
    switch (reply.outcome) {
    case ForwardOutcome::Answered:
    case ForwardOutcome::Failed:
    case ForwardOutcome::CallFailed:
        report.outcome.result = AttemptResult::Responded;
        report.outcome.status = reply.response.status;
        break;
    case ForwardOutcome::TimedOut:
        report.outcome.result = AttemptResult::TimedOut;
        break;
    case ForwardOutcome::MayHaveRun:
        report.outcome.result = AttemptResult::MayHaveRun;
        break;
    case ForwardOutcome::Refused:
    case ForwardOutcome::NotSent:
    case ForwardOutcome::NotRun:
        return;
    }
    m_parts.onAttempt(report, versions->rollout->record.ticket);
}

void InboundHandler::finish(const InboundJobPtr &job, InboundResult reply)
{
    const auto handler = std::exchange(job->handler, nullptr);
    if (!handler)
        return;
    --m_jobs;
    reply.load = m_queue.load();
    reply.inboundTime = EventLoop::now() - job->arrivedAt;
    if (!hasResponse(reply.outcome) && m_logLimiter.allow(EventLoop::now(), m_parts.log)) {
        LogEvent(LogLevel::Info, "door.not_answered")
                .field("request", job->request.id)
                .field("route", job->request.route)
                .field("target", job->request.target)
                .field("outcome", forwardOutcomeName(reply.outcome))
                .field("refusal", inboundRefusalName(reply.refusal))
                .field("running", reply.load->running)
                .field("waiting", reply.load->waiting)
                .field("detail", reply.detail)
                .write(m_parts.log);
    }
    handler(std::move(reply));
}

void InboundHandler::runNext()
{
    while (const std::optional<WaiterId> id = m_queue.takeNext()) {
        const auto waiting = m_waiting.find(*id);
        if (waiting == m_waiting.end()) {
            m_queue.recordFinished({}, std::nullopt);
            continue;
        }
        const InboundJobPtr job = waiting->second;
        m_waiting.erase(waiting);
        run(job);
    }
}

void InboundHandler::cancel(const InboundJobPtr &job)
{
    if (!job->handler)
        return;
    job->handler = nullptr;
    --m_jobs;
    job->queueTimer.cancel();
    if (m_waiting.erase(job->waiter) > 0)
        m_queue.withdraw(job->waiter);
    if (job->isRunning) {
        noteRunning(*job, false);
        job->call.cancel();
        m_queue.recordFinished(job->request.route, std::nullopt);
        runNext();
    }
}

AnnouncementEffect InboundHandler::announce(const TargetAnnouncement &announcement)
{
    const AnnouncementEffect effect = m_target.announce(announcement, EventLoop::now());
    m_queue.setSlots(m_target.current()->slots);
    if (!m_target.acceptsRequests())
        refuseWaiting();
    return effect;
}

AnnouncementEffect InboundHandler::leave(const TargetId &target, std::optional<Incarnation> startedAt)
{
    const AnnouncementEffect effect = m_target.leave(target, startedAt);
    if (!m_target.acceptsRequests())
        refuseWaiting();
    return effect;
}

void InboundHandler::stop()
{
    m_isStopped = true;
    refuseWaiting();
}

void InboundHandler::refuseWaiting()
{
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &[id, job] : waiting) {
        m_queue.withdraw(id);
        refuse(job, InboundRefusal::Leaving, Microseconds{0});
    }
}

} // namespace dandeliondock
