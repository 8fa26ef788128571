#pragma once

/// \brief Configuration distribution for a service mesh.
namespace dandeliondock {

class AnnouncementSource;
class AttemptLedger;
class ClassQueue;
class ConfigState;
class ConfigStore;
class Counter;
class Deadline;
class EndpointDirectory;
class Filing;
class FilingDriver;
class Gauge;
class Hedging;
class HttpCall;
class HttpClient;
class HttpHeaders;
class HttpServer;
class HttpServerBuilder;
class Ingress;
class IngressBuilder;
class LatencyHistogram;
class LocalGuard;
class LogEvent;
class Metrics;
class Node;
class OperatorApi;
class OperatorClient;
class OutcomeWindow;
class RequestPlan;
class RetryBudget;
class RolloutDriver;
class RolloutDuty;
class RolloutTable;
class RouteTable;
class Router;
class SequentialTest;
class ServiceGate;
class ServicePool;
class StagePlan;
class StopSignals;
class TargetHealth;
class TargetSession;
class TargetWatch;
class TicketService;
enum class ErrorKind;
enum class LogLevel;
enum class WorkClass;
struct Endpoint;
struct FiledTicket;
struct HeadRow;
struct HttpRequest;
struct HttpResponse;
struct LeaseRow;
struct NodeSettings;
struct OperatorHooks;
struct Revision;
struct RolloutRecord;
struct RolloutRow;
struct Route;
struct RoutingHooks;
struct Service;
struct StoreHooks;
struct Ticket;
struct TicketStatus;
struct TicketStatusView;
struct TimeSource;
struct Version;

} // namespace dandeliondock
