#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/inbound_handler.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

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
    ByteCount reservedBytes; ///< reserved on the link for the response
    bool isRunning = false;
};

} // namespace impl

namespace {

constexpr int firstServerError = 500;
constexpr int misdirectedRequest = 421;

// Whether the process of the target may have been replaced. A response that is late on an open connection does not show
// this: an overloaded target would get only the rate of a cold one.
bool mayHaveRestarted(const AsyncCallResult &result)
{
    if (result.status.ok())
        return result.response.status == misdirectedRequest;
    return !result.maybeSent || errorKind(result.status) != ErrorKind::DeadlineExceeded;
}

} // namespace

InboundHandler::InboundHandler(InboundHandlerDependencies dependencies)
    : m_dependencies(std::move(dependencies)), m_firstRuns(m_dependencies.metrics->counter("door_runs_total", "first")),
      m_repeatedRuns(m_dependencies.metrics->counter("door_runs_total", "repeat")), m_cold(coldDependencies())
{
}

ColdMonitorDependencies InboundHandler::coldDependencies()
{
    ColdMonitorDependencies dependencies;
    dependencies.loop = m_dependencies.loop;
    dependencies.metrics = m_dependencies.metrics;
    dependencies.log = m_dependencies.log;
    dependencies.bounds = m_dependencies.coldBounds;
    dependencies.probe = httpColdProbe(*m_dependencies.client, m_dependencies.target, m_dependencies.headerNames);
    dependencies.onChanged = [this](bool isCold) { applyColdChange(isCold); };
    return dependencies;
}

InboundHandler::~InboundHandler() = default;

InboundRefusal InboundHandler::refusalFor(const InboundRequest &request, MonotonicTime now) const
{
    if (m_isStopped || !m_target.acceptsRequests())
        return InboundRefusal::Leaving;
    const TargetAnnouncement &target = *m_target.current();
    if (target.target != request.target || target.service != request.service)
        return InboundRefusal::OtherTarget;
    const ServiceVersions *versions = m_dependencies.versions(request.service);
    if (versions != nullptr && !mayServe(*versions, target.version))
        return InboundRefusal::OtherVersion;
    if (m_isEvacuated)
        return InboundRefusal::Evacuated;
    if (m_dependencies.isRegionAllowed && !m_dependencies.isRegionAllowed(request))
        return InboundRefusal::OtherRegion;
    return now >= request.deadline ? InboundRefusal::Late : InboundRefusal::None;
}

InboundJobPtr InboundHandler::handle(InboundRequest request, InboundResultHandler handler)
{
    auto job = std::make_shared<impl::InboundJob>();
    job->request = std::move(request);
    job->handler = std::move(handler);
    ++m_openJobs;
    const MonotonicTime now = EventLoop::now();
    job->arrivedAt = now;
    if (const InboundRefusal refusal = refusalFor(job->request, now); refusal != InboundRefusal::None) {
        refuse(job, refusal, Microseconds{0});
        return job;
    }
    if (!m_cold.maySend(m_waiting.size())) {
        refuse(job, InboundRefusal::Cold, m_cold.timeToSend(m_waiting.size()));
        return job;
    }
    enqueue(job, now);
    return job;
}

void InboundHandler::enqueue(const InboundJobPtr &job, MonotonicTime now)
{
    const InboundRequest &request = job->request;
    const MonotonicTime softDeadline = std::min(request.deadline, request.softDeadline);
    const ByteCount response = m_responseSizes.mean(request.route);
    const LinkAdmission link = m_dependencies.link->admit(response, softDeadline, now);
    if (!link.isAdmitted) {
        refuse(job, InboundRefusal::LinkFull, link.retryAfter);
        return;
    }
    job->waiter = WaiterId(++m_lastWaiterId);
    const MonotonicTime queueDeadline = softDeadline - m_dependencies.link->transferTime(response);
    const InboundAdmission admission =
            m_queue.admit(job->waiter, {request.route, request.workClass, request.maxWait}, queueDeadline, now);
    if (admission.verdict == InboundVerdict::Refuse) {
        refuseDisplaced(admission.displaced);
        refuse(job, InboundRefusal::Busy, admission.retryAfter);
        return;
    }
    reserveLink(*job, response);
    if (admission.verdict == InboundVerdict::Run) {
        run(job);
        return;
    }
    m_waiting[job->waiter] = job;
    const MonotonicTime waitsUntil =
            request.maxWait.count() > 0 ? std::min(queueDeadline, now + request.maxWait) : queueDeadline;
    job->queueTimer = m_dependencies.loop->after(waitsUntil - now, [this, weak = std::weak_ptr(job)] {
        if (const auto waiting = weak.lock(); waiting && m_waiting.erase(waiting->waiter) > 0) {
            m_queue.withdraw(waiting->waiter);
            refuse(waiting, InboundRefusal::Late, Microseconds{0});
        }
    });
    // A refused request of this proxy may come back within the call, so that this job must already be waiting.
    refuseDisplaced(admission.displaced);
}

void InboundHandler::refuseDisplaced(const std::vector<WaiterId> &displaced)
{
    for (const WaiterId id : displaced) {
        const auto waiting = m_waiting.find(id);
        if (waiting == m_waiting.end())
            continue;
        const InboundJobPtr job = waiting->second;
        m_waiting.erase(waiting);
        refuse(job, InboundRefusal::Displaced, Microseconds{0});
    }
}

void InboundHandler::reserveLink(impl::InboundJob &job, ByteCount response)
{
    job.reservedBytes = response;
    m_dependencies.link->reserve(response);
}

void InboundHandler::releaseLink(impl::InboundJob &job)
{
    m_dependencies.link->release(std::exchange(job.reservedBytes, ByteCount{}));
}

TargetLoad InboundHandler::load(const RouteName &route) const
{
    const MonotonicTime now = EventLoop::now();
    TargetLoad load = m_queue.load();
    load.linkBacklog = m_dependencies.link->backlog(now);
    load.workTime = m_queue.workTime(route);
    if (m_serverLoad && now - m_serverLoadAt < serverWorkPercentTtl)
        load.workPercent = m_serverLoad->workPercent;
    return load;
}

// Whether all slots are in use, by the requests that run or by the last report; the target may still process requests
// whose callers have left.
bool InboundHandler::isTargetFull() const
{
    const TargetLoad load = m_queue.load();
    const bool isReportedFull =
            m_serverLoad && m_serverLoad->isFull() && EventLoop::now() - m_serverLoadAt < serverWorkPercentTtl;
    return load.running >= load.slots || isReportedFull;
}

void InboundHandler::recordServerLoad(const HttpResponse &response)
{
    const auto header = response.headers.first(m_dependencies.headerNames.load);
    const auto reported = header ? parseServerLoad(*header) : std::nullopt;
    if (!reported)
        return;
    m_serverLoad = reported;
    m_serverLoadAt = EventLoop::now();
}

void InboundHandler::refuse(const InboundJobPtr &job, InboundRefusal refusal, Microseconds retryAfter)
{
    m_dependencies.metrics->counter("door_refusals_total", inboundRefusalName(refusal)).add();
    InboundResult result;
    result.refusal = refusal;
    result.retryAfter = retryAfter;
    finish(job, std::move(result));
}

void InboundHandler::run(const InboundJobPtr &job)
{
    job->queueTimer.cancel();
    job->startedAt = EventLoop::now();
    InboundRequest &request = job->request;
    const auto remainingMs = std::chrono::duration_cast<Milliseconds>(request.deadline - job->startedAt).count();
    if (remainingMs <= 0) {
        m_queue.recordFinished(job->request.route, std::nullopt);
        refuse(job, InboundRefusal::Late, Microseconds{0});
        runNext();
        return;
    }
    request.request.headers.set(m_dependencies.headerNames.timeBudget, absl::StrCat(remainingMs));
    request.request.headers.set(m_dependencies.headerNames.expectTarget, request.target.value());
    AsyncCallOptions options;
    options.deadline = request.deadline + targetResponseGrace;
    options.maxConnectionIdle = request.isIdempotent ? reuseIdleLimit : nonIdempotentReuseIdleLimit;
    options.correlationHeader = m_dependencies.headerNames.requestId;
    (request.isRepeat ? m_repeatedRuns : m_firstRuns).add();
    setRunning(*job, true);
    m_cold.recordSent();
    job->call = m_dependencies.client->send(
            m_dependencies.target, request.request, options,
            [this, job](AsyncCallResult callResult) { handleResponse(job, std::move(callResult)); });
    request.request.body = {}; // this handler sends it once
}

Share InboundHandler::repeatShare() const noexcept
{
    return m_running == 0 ? noShare : Share(m_runningRepeats * fullShare.value() / m_running);
}

void InboundHandler::setRunning(impl::InboundJob &job, bool isRunning)
{
    job.isRunning = isRunning;
    m_running += isRunning ? 1 : -1;
    if (job.request.isRepeat)
        m_runningRepeats += isRunning ? 1 : -1;
}

void InboundHandler::handleResponse(const InboundJobPtr &job, AsyncCallResult callResult)
{
    setRunning(*job, false);
    const Microseconds latency = EventLoop::now() - job->startedAt;
    if (mayHaveRestarted(callResult))
        m_cold.suspect();
    if (callResult.status.ok())
        recordServerLoad(callResult.response);
    const bool wasFull = isTargetFull();
    const bool isConnectionLost = errorKind(callResult.status) == ErrorKind::MayHaveRun;
    InboundResult result = resultFor(*job, std::move(callResult));
    if (isConnectionLost && result.outcome == ForwardOutcome::MayHaveRun)
        result.isTargetFull = wasFull;
    if (result.outcome == ForwardOutcome::Failed && hasDependencyFailed(*job))
        result.outcome = ForwardOutcome::CallFailed;
    m_queue.recordFinished(job->request.route, hasResponse(result.outcome) ? std::optional(latency) : std::nullopt);
    if (result.outcome == ForwardOutcome::Responded)
        m_responseSizes.record(job->request.route, result.response.body.size());
    reportAttempt(*job, result, latency);
    finish(job, std::move(result));
    runNext();
}

// A target's calls do not name the request that makes them. A target that fails because of a call does so at once, so a
// call that failed recently, while this request was running, is taken as the cause.
bool InboundHandler::hasDependencyFailed(const impl::InboundJob &job) const
{
    return m_dependencies.lastDependencyFailure()
           >= std::max(job.startedAt, EventLoop::now() - dependencyFailureWindow);
}

InboundResult InboundHandler::resultFor(const impl::InboundJob &job, AsyncCallResult callResult) const
{
    if (callResult.status.ok())
        return classifyResponse(std::move(callResult.response));
    InboundResult result;
    result.detail = std::string(errorDetail(callResult.status));
    if (!callResult.maybeSent) {
        result.outcome = ForwardOutcome::NotSent;
        result.refusal = InboundRefusal::Unreachable;
    } else if (EventLoop::now() >= job.request.deadline) {
        result.outcome = ForwardOutcome::TimedOut;
    } else {
        result.outcome = ForwardOutcome::MayHaveRun;
    }
    return result;
}

// A response without the target's seal, or with a content encoding that was not requested, does not come from the
// target.
InboundResult InboundHandler::classifyResponse(HttpResponse response) const
{
    InboundResult result;
    if (response.headers.first(m_dependencies.headerNames.notExecuted) || response.status == misdirectedRequest) {
        result.outcome = ForwardOutcome::NotRun;
        result.isTargetFull = response.status != misdirectedRequest;
        result.detail = absl::StrCat("status ", response.status);
        return result;
    }
    const bool isSealed = response.headers.first(m_dependencies.headerNames.seal).has_value();
    const bool hasContentEncoding = response.headers.first("Content-Encoding").has_value();
    if (hasContentEncoding || !isSealed) {
        result.outcome = ForwardOutcome::MayHaveRun;
        result.detail =
                absl::StrCat("status ", response.status, hasContentEncoding ? " with an encoding" : " without a seal");
        return result;
    }
    removeHopByHopHeaders(response.headers);
    result.outcome = response.status >= firstServerError ? ForwardOutcome::Failed : ForwardOutcome::Responded;
    result.response = std::move(response);
    return result;
}

void InboundHandler::reportAttempt(const impl::InboundJob &job, const InboundResult &result, Microseconds latency)
{
    const ServiceVersions *versions = m_dependencies.versions(job.request.service);
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
    switch (result.outcome) {
    case ForwardOutcome::Responded:
    case ForwardOutcome::Failed:
    case ForwardOutcome::CallFailed:
        report.outcome.result = AttemptResult::Responded;
        report.outcome.status = result.response.status;
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
    m_dependencies.onAttempt(report, versions->rollout->record.ticket);
}

void InboundHandler::finish(const InboundJobPtr &job, InboundResult result)
{
    const auto handler = std::exchange(job->handler, nullptr);
    if (!handler)
        return;
    --m_openJobs;
    releaseLink(*job);
    result.load = load(job->request.route);
    result.load->cold = m_cold.report(result.refusal == InboundRefusal::Cold);
    result.inboundTime = EventLoop::now() - job->arrivedAt;
    if (!hasResponse(result.outcome) && m_logLimiter.allow(EventLoop::now(), m_dependencies.log)) {
        LogEvent(LogLevel::Info, "door.not_answered")
                .field("request", job->request.id)
                .field("route", job->request.route)
                .field("target", job->request.target)
                .field("outcome", forwardOutcomeName(result.outcome))
                .field("refusal", inboundRefusalName(result.refusal))
                .field("running", result.load->running)
                .field("waiting", result.load->waiting)
                .field("detail", result.detail)
                .write(m_dependencies.log);
    }
    handler(std::move(result));
}

void InboundHandler::runNext()
{
    while (true) {
        if (!m_waiting.empty() && !m_cold.maySend(0)) {
            m_coldTimer = m_dependencies.loop->after(m_cold.timeToSend(0), [this] { runNext(); });
            return;
        }
        const std::optional<WaiterId> id = m_queue.takeNext();
        if (!id)
            return;
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
    --m_openJobs;
    releaseLink(*job);
    job->queueTimer.cancel();
    if (m_waiting.erase(job->waiter) > 0)
        m_queue.withdraw(job->waiter);
    if (job->isRunning) {
        setRunning(*job, false);
        job->call.cancel();
        m_queue.recordFinished(job->request.route, std::nullopt);
        runNext();
    }
}

AnnouncementEffect InboundHandler::announce(const TargetAnnouncement &announcement)
{
    const std::optional<TargetAnnouncement> previous = m_target.current();
    const AnnouncementEffect effect = m_target.announce(announcement, EventLoop::now());
    if (effect != AnnouncementEffect::Stale) {
        const bool isSameProcess =
                previous && previous->target == announcement.target && previous->startedAt == announcement.startedAt;
        m_cold.recordAnnouncement(announcement.coldRemaining, !isSameProcess);
    }
    return followTarget(effect);
}

AnnouncementEffect InboundHandler::handleDeparture(const TargetId &target, std::optional<Incarnation> startedAt,
                                                   Incarnation latestStart)
{
    return followTarget(m_target.handleDeparture(target, startedAt, latestStart));
}

AnnouncementEffect InboundHandler::applyRecord(const std::optional<TargetAnnouncement> &record)
{
    return followTarget(m_target.applyRecord(record));
}

AnnouncementEffect InboundHandler::followTarget(AnnouncementEffect effect)
{
    if (m_target.current())
        m_queue.setSlots(m_target.current()->slots);
    if (!m_target.acceptsRequests())
        refuseWaiting(InboundRefusal::Leaving);
    return effect;
}

void InboundHandler::stop()
{
    m_isStopped = true;
    refuseWaiting(InboundRefusal::Leaving);
}

void InboundHandler::setEvacuated(bool isEvacuated)
{
    const bool wasEvacuated = std::exchange(m_isEvacuated, isEvacuated);
    if (isEvacuated)
        refuseWaiting(InboundRefusal::Evacuated);
    else if (wasEvacuated)
        m_cold.suspect(); // a target without traffic may have become cold
}

void InboundHandler::refuseDisallowed()
{
    if (!m_dependencies.isRegionAllowed)
        return;
    std::vector<InboundJobPtr> disallowed;
    for (const auto &[id, job] : m_waiting) {
        if (!m_dependencies.isRegionAllowed(job->request))
            disallowed.push_back(job);
    }
    for (const InboundJobPtr &job : disallowed) {
        if (m_waiting.erase(job->waiter) == 0)
            continue;
        m_queue.withdraw(job->waiter);
        refuse(job, InboundRefusal::OtherRegion, Microseconds{0});
    }
}

// Requests that wait for a target that has become cold are refused, so that other targets can run them in time.
void InboundHandler::applyColdChange(bool isCold)
{
    if (isCold)
        refuseWaiting(InboundRefusal::Cold);
    else
        runNext();
}

void InboundHandler::refuseWaiting(InboundRefusal refusal)
{
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &[id, job] : waiting) {
        m_queue.withdraw(id);
        refuse(job, refusal, Microseconds{0});
    }
}

} // namespace dandeliondock
