#ifndef OLEANDERGAUGE_CLI_API_CLIENT_H
#define OLEANDERGAUGE_CLI_API_CLIENT_H

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cli/options.h"

namespace oleandergauge::cli {

/// The answer of an entry host.
struct ApiResponse {
  int Status_ = 0; ///< HTTP status; 0 where no answer came.
  nlohmann::json Body_;
  /// Why no answer came.
  std::string Error_;
  /// True where no host can have received the request.
  bool NotSent_ = false;

  bool ok() const { return Status_ >= 200 && Status_ < 300; }
};

/// Talks to the entry hosts over HTTP, one request at a time.
class ApiClient {
public:
  /// \p Servers are base URLs, tried in order. \p Key goes into the header
  /// Authorization where it is not empty.
  /// \p Operator, where it is not empty, is who the change log names.
  ApiClient(std::vector<std::string> Servers, std::string Key,
            std::string Operator, unsigned TimeoutSeconds);

  /// Where \p Repeatable, a request without an answer is sent to the next
  /// server too; else only one that was certainly not received.
  ApiResponse send(const std::string &Method, const std::string &Path,
                   const std::optional<nlohmann::json> &Body,
                   bool Repeatable) const;

private:
  ApiResponse sendTo(const std::string &Server, const std::string &Method,
                     const std::string &Path,
                     const std::optional<nlohmann::json> &Body) const;

  std::vector<std::string> Servers_;
  std::string Key_;
  std::string Operator_;
  unsigned TimeoutSeconds_;
};

/// Which key a command sends.
enum class KeyKind { Caller, Operator };

/// The options --server, --timeout-s and --json, which all clients have.
std::vector<OptionSpec> clientOptions();

/// A client by the options and the environment: OLEANDERGAUGE_SERVER (base
/// URLs separated by commas), OLEANDERGAUGE_KEY, OLEANDERGAUGE_OPERATOR_KEY.
/// The change log names the operator by USER. Empty where --timeout-s is not
/// a number of seconds from 1 to 86400; the error is printed.
std::optional<ApiClient> makeClient(const std::string &Command,
                                    const Arguments &Given, KeyKind Kind);

/// Prints verdict and reason of a refusal, or why no answer came, to standard
/// error. Returns Failed.
ExitCode printFailure(const ApiResponse &Response);

/// \p Text with all but unreserved characters percent-encoded.
std::string escapePath(const std::string &Text);

} // namespace oleandergauge::cli

#endif // OLEANDERGAUGE_CLI_API_CLIENT_H
