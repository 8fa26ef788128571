#pragma once

/// \brief Configuration distribution for a service mesh.
namespace dandeliondock {

class ConfigState;
class ConfigStore;
class Counter;
class Gauge;
class HttpClient;
class HttpHeaders;
class HttpServer;
class HttpServerBuilder;
class LatencyHistogram;
class LocalGuard;
class LogEvent;
class Metrics;
class Node;
class OutcomeWindow;
class RolloutDriver;
class RolloutDuty;
class RolloutTable;
class SequentialTest;
class StagePlan;
class TicketService;
enum class ErrorKind;
enum class LogLevel;
enum class WorkClass;
struct HttpRequest;
struct HttpResponse;
struct NodeSettings;
struct Revision;
struct RolloutRecord;
struct Route;
struct Service;
struct StoreHooks;
struct Ticket;
struct TimeSource;
struct Version;

} // namespace dandeliondock
