#pragma once

#include <string>

namespace dandeliondock {

/// \brief Names of the headers that callers and targets use. An adapter fills them in.
struct HeaderNames
{
    std::string requestId;     ///< chosen by the caller, repeated by the target
    std::string timeBudget;    ///< milliseconds that the caller still waits
    std::string callerService; ///< set for the target: the service on the instance where the request began
    std::string expectTarget;  ///< set for the target: the id that it must have to run the request
    std::string notExecuted;   ///< on a response of a target that did not run the request
    std::string seal;          ///< on every response that a target made
};

} // namespace dandeliondock
