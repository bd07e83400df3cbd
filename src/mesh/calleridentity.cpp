#include "mesh/calleridentity.h"

#include "core/logevent.h"

namespace Hibiscus
{

namespace
{

/** Logs a refused caller. The fingerprint tells which key was used, but not the key. */
void logRefused(const Route &route, const CallerRequestMetadata &metadata)
{
    const Credential &credential = metadata.credential;
    const bool hasKey = credential.kind == Credential::Kind::Key;
    const char *reason = hasKey                          ? "no team has the key"
        : credential.kind == Credential::Kind::Malformed ? "the credential is malformed"
                                                         : "no key";
    logEvent(LogEvent::CallerRefused, reason,
             {{"request", metadata.requestId},
              {"route", route.name},
              {"fingerprint", hasKey ? ApiKey(credential.key).fingerprint() : std::string()}});
}

} // namespace

CallerIdentifier::CallerIdentifier(Guarded<CallScopeTable> &scopes)
    : scopes_(scopes)
{
}

Result<CallerIdentity> CallerIdentifier::identify(const RouteTable &routes, const Route &route,
                                                  const CallerRequestMetadata &metadata) const
{
    if (!routes.configuration().teams.needsKeys()) {
        return CallerIdentity{};
    }
    if (isNested(metadata)) {
        return CallerIdentity{nullptr, true};
    }
    if (route.isPublic) {
        return CallerIdentity{};
    }
    const Credential &credential = metadata.credential;
    if (credential.kind == Credential::Kind::None && !metadata.parentId.empty()) {
        return tl::unexpected(ErrorKind::ParentUnknown);
    }
    const Team *team = credential.kind == Credential::Kind::Key ? routes.keys().find(credential.key) : nullptr;
    if (team == nullptr) {
        logRefused(route, metadata);
        return tl::unexpected(ErrorKind::UnknownCaller);
    }
    return CallerIdentity{team, false};
}

bool CallerIdentifier::isNested(const CallerRequestMetadata &metadata) const
{
    if (metadata.parentId.empty()) {
        return false;
    }
    return scopes_.with([&](CallScopeTable &scopes) {
        return scopes.find(metadata.parentId).has_value() || scopes.isAbandoned(metadata.parentId);
    });
}

} // namespace Hibiscus
