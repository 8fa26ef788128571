#pragma once

/// \brief Configuration distribution for a service mesh.
namespace dandeliondock {

class AnnouncementSource;
class ClassQueue;
class ConfigState;
class ConfigStore;
class Counter;
class EndpointDirectory;
class Gauge;
class HttpClient;
class HttpHeaders;
class HttpServer;
class HttpServerBuilder;
class LatencyHistogram;
class LogEvent;
class Metrics;
class Node;
class RouteTable;
class Router;
class ServiceGate;
class ServicePool;
class TargetHealth;
class TargetSession;
class TargetWatch;
class TicketService;
enum class ErrorKind;
enum class LogLevel;
enum class WorkClass;
struct Endpoint;
struct HttpRequest;
struct HttpResponse;
struct NodeSettings;
struct Revision;
struct Route;
struct RoutingHooks;
struct Service;
struct StoreHooks;
struct Ticket;
struct TimeSource;
struct Version;

} // namespace dandeliondock
