#include <dandeliondock/core/error.h>
#include <dandeliondock/proxy/inbound_handler.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace dandeliondock {

namespace impl {

struct DoorJob
{
    DoorRequest request;
    DoorReplyHandler handler; ///< null once the job has ended
    WaiterId waiter;
    LoopTimer queueTimer;
    LoopCall call;
    MonotonicTime arrivedAt;
    MonotonicTime startedAt;
    bool isRunning = false;
};

} // namespace impl

namespace {

constexpr int firstServerError = 500;
constexpr int misdirected = 421;

} // namespace

Door::Door(DoorParts parts)
    : m_parts(std::move(parts)), m_firstRuns(m_parts.metrics->counter("door_runs_total", "first")),
      m_repeatedRuns(m_parts.metrics->counter("door_runs_total", "repeat"))
{
}

Door::~Door() = default;

DoorRefusal Door::refusalFor(const DoorRequest &request, MonotonicTime now) const
{
    if (m_isStopped || !m_target.takesWork())
        return DoorRefusal::Leaving;
    const TargetAnnouncement &target = *m_target.current();
    if (target.target != request.target || target.service != request.service)
        return DoorRefusal::OtherTarget;
    const ServiceVersions *versions = m_parts.versions(request.service);
    if (versions != nullptr && !mayServe(*versions, target.version))
        return DoorRefusal::OtherVersion;
    return now >= request.deadline ? DoorRefusal::Late : DoorRefusal::None;
}

DoorJobPtr Door::handle(DoorRequest request, DoorReplyHandler handler)
{
    auto job = std::make_shared<impl::DoorJob>();
    job->request = std::move(request);
    job->handler = std::move(handler);
    ++m_jobs;
    const MonotonicTime now = EventLoop::now();
    job->arrivedAt = now;
    if (const DoorRefusal refusal = refusalFor(job->request, now); refusal != DoorRefusal::None) {
        refuse(job, refusal, Microseconds{0});
        return job;
    }
    job->waiter = WaiterId(++m_lastId);
    const MonotonicTime latest = std::min(job->request.deadline, job->request.usefulUntil);
    const DoorAdmission admission =
            m_queue.offer(job->waiter, {job->request.route, job->request.workClass}, latest, now);
    if (admission.verdict == DoorVerdict::Run) {
        run(job);
    } else if (admission.verdict == DoorVerdict::Refuse) {
        refuse(job, DoorRefusal::Busy, admission.retryAfter);
    } else {
        m_waiting[job->waiter] = job;
        job->queueTimer = m_parts.loop->after(latest - now, [this, weak = std::weak_ptr(job)] {
            if (const auto waiting = weak.lock(); waiting && m_waiting.erase(waiting->waiter) > 0) {
                m_queue.withdraw(waiting->waiter);
                refuse(waiting, DoorRefusal::Late, Microseconds{0});
            }
        });
    }
    if (admission.displaced) {
        const auto displaced = m_waiting.find(*admission.displaced);
        if (displaced != m_waiting.end()) {
            const DoorJobPtr other = displaced->second;
            m_waiting.erase(displaced);
            refuse(other, DoorRefusal::Displaced, Microseconds{0});
        }
    }
    return job;
}

void Door::refuse(const DoorJobPtr &job, DoorRefusal refusal, Microseconds retryAfter)
{
    m_parts.metrics->counter("door_refusals_total", doorRefusalName(refusal)).add();
    DoorReply reply;
    reply.refusal = refusal;
    reply.retryAfter = retryAfter;
    finish(job, std::move(reply));
}

void Door::run(const DoorJobPtr &job)
{
    job->queueTimer.cancel();
    job->startedAt = EventLoop::now();
    DoorRequest &request = job->request;
    const auto left = std::chrono::duration_cast<Milliseconds>(request.deadline - job->startedAt).count();
    if (left <= 0) {
        m_queue.finished(job->request.route, std::nullopt);
        refuse(job, DoorRefusal::Late, Microseconds{0});
        runNext();
        return;
    }
    request.request.headers.set(m_parts.protocol.timeBudget, absl::StrCat(left));
    request.request.headers.set(m_parts.protocol.expectTarget, request.target.value());
    LoopCallOptions options;
    options.deadline = request.deadline + targetAnswerSlack;
    options.reuseWithin = request.isIdempotent ? reusableConnection : provenConnection;
    options.echoHeader = m_parts.protocol.requestId;
    (request.isRepeat ? m_repeatedRuns : m_firstRuns).add();
    noteRunning(*job, true);
    job->call = m_parts.client->send(m_parts.target, request.request, options,
                                     [this, job](LoopCallResult result) { ended(job, std::move(result)); });
}

Share Door::repeatedPart() const noexcept
{
    return m_running == 0 ? noShare : Share(m_repeats * fullShare.value() / m_running);
}

void Door::noteRunning(impl::DoorJob &job, bool isRunning)
{
    job.isRunning = isRunning;
    m_running += isRunning ? 1 : -1;
    if (job.request.isRepeat)
        m_repeats += isRunning ? 1 : -1;
}

void Door::ended(const DoorJobPtr &job, LoopCallResult result)
{
    noteRunning(*job, false);
    const Microseconds latency = EventLoop::now() - job->startedAt;
    DoorReply reply = replyOf(*job, std::move(result));
    if (reply.outcome == DoorOutcome::Failed && hasCallFailed(*job))
        reply.outcome = DoorOutcome::CallFailed;
    m_queue.finished(job->request.route, hasResponse(reply.outcome) ? std::optional(latency) : std::nullopt);
    report(*job, reply, latency);
    finish(job, std::move(reply));
    runNext();
}

// Calls do not name the request that they belong to; a target fails at once when one of its calls does.
bool Door::hasCallFailed(const impl::DoorJob &job) const
{
    return m_parts.lastFailure() >= std::max(job.startedAt, EventLoop::now() - callFailureTime);
}

DoorReply Door::replyOf(const impl::DoorJob &job, LoopCallResult result) const
{
    if (result.status.ok())
        return judgeResponse(std::move(result.response));
    DoorReply reply;
    reply.detail = std::string(errorDetail(result.status));
    if (!result.wasSent) {
        reply.outcome = DoorOutcome::NotSent;
        reply.refusal = DoorRefusal::Unreachable;
    } else if (EventLoop::now() >= job.request.deadline) {
        reply.outcome = DoorOutcome::TimedOut;
    } else {
        reply.outcome = DoorOutcome::MayHaveRun;
    }
    return reply;
}

// A success that lacks the target's seal, or is encoded although nobody asked for it, is not the target's response.
DoorReply Door::judgeResponse(HttpResponse response) const
{
    DoorReply reply;
    if (response.headers.first(m_parts.protocol.notExecuted) || response.status == misdirected) {
        reply.outcome = DoorOutcome::NotRun;
        reply.detail = absl::StrCat("status ", response.status);
        return reply;
    }
    const bool isSealed = response.headers.first(m_parts.protocol.seal).has_value();
    const bool isEncoded = response.headers.first("Content-Encoding").has_value();
    if (isEncoded || !isSealed) {
        reply.outcome = DoorOutcome::MayHaveRun;
        reply.detail = absl::StrCat("status ", response.status, isEncoded ? " with an encoding" : " without a seal");
        return reply;
    }
    removeHopByHop(response.headers);
    reply.outcome = response.status >= firstServerError ? DoorOutcome::Failed : DoorOutcome::Answered;
    reply.response = std::move(response);
    return reply;
}

void Door::report(const impl::DoorJob &job, const DoorReply &reply, Microseconds latency)
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
    case DoorOutcome::Answered:
    case DoorOutcome::Failed:
    case DoorOutcome::CallFailed:
        report.outcome.result = AttemptResult::Answered;
        report.outcome.status = reply.response.status;
        break;
    case DoorOutcome::TimedOut:
        report.outcome.result = AttemptResult::TimedOut;
        break;
    case DoorOutcome::MayHaveRun:
        report.outcome.result = AttemptResult::MayHaveRun;
        break;
    case DoorOutcome::Refused:
    case DoorOutcome::NotSent:
    case DoorOutcome::NotRun:
        return;
    }
    m_parts.onAttempt(report, versions->rollout->record.ticket);
}

void Door::finish(const DoorJobPtr &job, DoorReply reply)
{
    const auto handler = std::exchange(job->handler, nullptr);
    if (!handler)
        return;
    --m_jobs;
    reply.load = m_queue.load();
    reply.atDoor = EventLoop::now() - job->arrivedAt;
    if (!hasResponse(reply.outcome) && m_logLimiter.admits(EventLoop::now(), m_parts.log)) {
        LogEvent(LogLevel::Info, "door.not_answered")
                .field("request", job->request.id)
                .field("route", job->request.route)
                .field("target", job->request.target)
                .field("outcome", doorOutcomeName(reply.outcome))
                .field("refusal", doorRefusalName(reply.refusal))
                .field("running", reply.load->running)
                .field("waiting", reply.load->waiting)
                .field("detail", reply.detail)
                .write(m_parts.log);
    }
    handler(std::move(reply));
}

void Door::runNext()
{
    while (const std::optional<WaiterId> id = m_queue.next()) {
        const auto waiting = m_waiting.find(*id);
        if (waiting == m_waiting.end()) {
            m_queue.finished({}, std::nullopt);
            continue;
        }
        const DoorJobPtr job = waiting->second;
        m_waiting.erase(waiting);
        run(job);
    }
}

void Door::cancel(const DoorJobPtr &job)
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
        m_queue.finished(job->request.route, std::nullopt);
        runNext();
    }
}

AnnouncementEffect Door::announce(const TargetAnnouncement &announcement)
{
    const AnnouncementEffect effect = m_target.announce(announcement, EventLoop::now());
    m_queue.setSlots(m_target.current()->slots);
    if (!m_target.takesWork())
        refuseWaiting();
    return effect;
}

AnnouncementEffect Door::leave(const TargetId &target, std::optional<Incarnation> startedAt)
{
    const AnnouncementEffect effect = m_target.leave(target, startedAt);
    if (!m_target.takesWork())
        refuseWaiting();
    return effect;
}

void Door::stop()
{
    m_isStopped = true;
    refuseWaiting();
}

void Door::refuseWaiting()
{
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &[id, job] : waiting) {
        m_queue.withdraw(id);
        refuse(job, DoorRefusal::Leaving, Microseconds{0});
    }
}

} // namespace dandeliondock
