#ifndef HIBISCUS_DISCOVERY_OWNREGISTRATIONS_H
#define HIBISCUS_DISCOVERY_OWNREGISTRATIONS_H

#include "directory/formerservers.h"
#include "discovery/registrationwriter.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace Hibiscus
{

/**
 * Registrations that contain this daemon's address: those of the local server and of its former ones. Decides which of
 * them the store has to hold, and has them written and removed.
 */
class OwnRegistrations
{
public:
    struct Callbacks {
        /** Registration of the local server; empty if there is none. */
        std::function<std::optional<ServerRegistration>()> current;
        /** Called for each registration from the store or another daemon that contains this daemon's address. */
        std::function<void(const ServerRegistration &)> found;
        /** The registration of the local server has to be written. */
        std::function<void()> publish;
    };

    /** @p self is the peers listener of this daemon. */
    OwnRegistrations(HostAddress self, const Clock &clock, RegistrationWriter &writer, Callbacks callbacks);

    /** Writes the registration of the local server. */
    void put(const ServerRegistration &current, RegistrationWriter::Done done);
    /** Writes that a process of the local server has left. */
    void retire(const ServerRegistration &left, RegistrationWriter::Done done);
    /** Removes the registration of a former local server. */
    void withdraw(const ServerName &name, RegistrationWriter::Done done = nullptr);
    /** Removes those of all former local servers, except that of @p current. */
    void withdrawAllExcept(const ServerName &current);
    void withdrawAll();

    /** A new listing of the store begins. */
    void beginListing();
    /** Handles an entry of the store or of another daemon; true if it says that a server of this daemon has left, and
     * that was new. */
    bool handleEntry(const ServerRegistration &registration);
    void entryRemoved(const ServerName &name);
    /** Writes a registration again if the store reports an older write of it, which was delayed there. */
    void restore(const ServerRegistration &stored);
    /** Writes again what a store that came back from an older copy has lost, as seen in its first listing since. */
    void writeAgain(const ObjectListing &listing);

    /** Registrations of former servers that this daemon still announces. */
    const std::map<ServerName, ServerRegistration> &former() const;
    /** Removes entries of @p directory whose servers have left long ago, if it is this daemon's turn. */
    void removeExpired(const ServerDirectory &directory);

private:
    HostAddress self_;
    RegistrationWriter &writer_;
    Callbacks callbacks_;
    FormerServers former_;
    std::set<ServerName> entries_; ///< Servers whose registrations contain this daemon's address.
    std::set<ServerName> withdrawn_; ///< Servers whose registrations this process has removed.
};

} // namespace Hibiscus

#endif
