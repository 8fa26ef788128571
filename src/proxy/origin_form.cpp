#include <dandeliondock/proxy/origin_form.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <string>
#include <utility>

namespace dandeliondock {

namespace {

constexpr absl::string_view scheme = "http://";

} // namespace

void useOriginForm(HttpRequest &request)
{
    if (!absl::StartsWithIgnoreCase(request.target, scheme))
        return;
    const absl::string_view rest = absl::string_view(request.target).substr(scheme.size());
    const std::size_t hostEnd = std::min(rest.find_first_of("/?#"), rest.size());
    const absl::string_view host = rest.substr(0, hostEnd);
    if (host.empty() || absl::StrContains(host, "@"))
        return;
    const absl::string_view path = rest.substr(hostEnd);
    std::string target = absl::StrCat(absl::StartsWith(path, "/") ? "" : "/", path);
    request.headers.set("Host", host);
    request.target = std::move(target);
}

} // namespace dandeliondock
