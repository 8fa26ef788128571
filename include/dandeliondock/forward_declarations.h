#pragma once

/// \brief Configuration distribution for a service mesh.
namespace dandeliondock {

class AttemptLedger;
class ConfigState;
class ConfigStore;
class Counter;
class Gauge;
class Deadline;
class Hedging;
class HttpCall;
class HttpClient;
class HttpHeaders;
class HttpServer;
class HttpServerBuilder;
class Ingress;
class IngressBuilder;
class LatencyHistogram;
class LogEvent;
class Metrics;
class Node;
class RequestPlan;
class RetryBudget;
class TicketService;
enum class ErrorKind;
enum class LogLevel;
enum class WorkClass;
struct HttpRequest;
struct HttpResponse;
struct NodeSettings;
struct Revision;
struct Route;
struct Service;
struct StoreHooks;
struct Ticket;
struct TimeSource;
struct Version;

} // namespace dandeliondock
