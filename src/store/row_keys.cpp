#include <dandeliondock/store/row_keys.h>

#include <absl/strings/str_format.h>

namespace dandeliondock {

RowKey headKey()
{
    return RowKey("head");
}

RowKey ticketKey(TicketNumber number)
{
    return RowKey(absl::StrFormat("%s%020d", ticketPrefix, number.value()));
}

RowKey rolloutKey(TicketNumber number)
{
    return RowKey(absl::StrFormat("%s%020d", rolloutPrefix, number.value()));
}

RowKey revisionKey(RevisionNumber number)
{
    return RowKey(absl::StrFormat("%s%020d", revisionPrefix, number.value()));
}

} // namespace dandeliondock
