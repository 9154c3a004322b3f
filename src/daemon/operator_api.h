#ifndef OLEANDERGAUGE_DAEMON_OPERATOR_API_H
#define OLEANDERGAUGE_DAEMON_OPERATOR_API_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "daemon/http_server.h"
#include "daemon/messages.h"
#include "daemon/settings.h"

namespace oleandergauge::daemon {

/// Implements the HTTP routes of operators: records and the configuration log.
/// The configuration task commits the changes; a successful reply is sent only
/// after the commit.
class OperatorApi {
public:
  OperatorApi(const Settings &Options, Mailbox<ConfigTaskMessage> Config)
      : Options_(Options), Config_(std::move(Config)),
        Routing_(std::make_shared<Routing>()) {}

  void setRouting(std::shared_ptr<const Routing> NewRouting) {
    Routing_ = std::move(NewRouting);
  }

  /// GET /v1/records/<kind>
  void list(const ApiRequest &Request, const std::string &Kind,
            const ApiResponder &Respond);
  /// GET, PUT and DELETE /v1/records/<kind>/<name>. PUT takes body and
  /// expected_version from its JSON body, where version 0 means an absent
  /// record. DELETE takes expected_version as a query parameter.
  void record(const ApiRequest &Request, const std::string &Kind,
              const std::string &Name, const ApiResponder &Respond);
  /// GET /v1/records/log?after=<version>&limit=<count>
  void log(const ApiRequest &Request, const ApiResponder &Respond);

  void handle(const RecordChangeAnswered &Answer);
  void handle(const RecordAnswered &Answer);
  void handle(const ConfigLogAnswered &Answer);

private:
  Result<void> authorize(const ApiRequest &Request) const;
  Result<codec::RecordChange> readChange(const ApiRequest &Request,
                                         RecordKind Kind,
                                         const std::string &Name) const;
  /// Stores the responder until respond() is called with the returned token.
  Token addWaiter(ApiResponder Respond);
  void respond(Token Id, ApiReply Answer);

  const Settings &Options_;
  Mailbox<ConfigTaskMessage> Config_;
  std::shared_ptr<const Routing> Routing_;
  std::map<Token, ApiResponder> Waiters_;
  Token NextToken_ = 1;
};

} // namespace oleandergauge::daemon

#endif // OLEANDERGAUGE_DAEMON_OPERATOR_API_H
