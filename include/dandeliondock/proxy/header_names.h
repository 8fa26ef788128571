#pragma once

#include <string>

namespace dandeliondock {

/// \brief Names of the HTTP headers that callers and targets use. The platform adapter sets them.
struct HeaderNames
{
    std::string requestId;       ///< request: id set by the caller; the target repeats it in the response
    std::string timeBudget;      ///< request: milliseconds for which the caller still waits
    std::string callerService;   ///< request to the target: service of the target on the caller's instance
    std::string expectTarget;    ///< request to the target: id of the only target that may run the request
    std::string notExecuted;     ///< response: present when the target did not run the request
    std::string seal;            ///< response: present on every response that the target itself made
    std::string authorization{}; ///< request of a caller: key of its client account
    std::string account{};       ///< request to the target: name of the client account, set by the proxy
    std::string load{};          ///< response: running and waiting requests and slots of the target
    std::string coldRemaining{}; ///< health response: milliseconds for which the target stays cold
};

} // namespace dandeliondock
