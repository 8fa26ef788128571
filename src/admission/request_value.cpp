#include <dandeliondock/admission/request_value.h>

#include <algorithm>
#include <chrono>

namespace dandeliondock {

double responseValue(const RequestTerms &terms, MonotonicTime start) noexcept
{
    const MonotonicTime end = start + terms.work;
    if (end <= terms.softDeadline)
        return 1;
    return end <= terms.deadline ? lateResponseValue : 0;
}

double valuePerWork(const RequestTerms &terms, MonotonicTime start) noexcept
{
    const std::chrono::duration<double> work = std::max<Microseconds>(terms.work, minCountedWork);
    return responseValue(terms, start) / work.count();
}

} // namespace dandeliondock
