#include "daemon/api_reply.h"

#include <cctype>
#include <utility>

#include <glib.h>

#include "codec/json.h"

namespace oleandergauge::daemon {
ApiReply jsonReply(unsigned Status, std::string Body) {
  ApiReply Out;
  Out.Status_ = Status;
  Out.Body_ = std::move(Body);
  return Out;
}

ApiReply refusalReply(const Refusal &Cause) {
  auto Status = static_cast<unsigned>(codec::httpStatusOf(Cause.Reason_));
  ApiReply Out = jsonReply(Status, codec::toJson(Cause));
  Out.CloseConnection_ = Cause.Reason_ == RefusalReason::Draining;
  return Out;
}

std::string hashKey(const std::string &Key) {
  char *Digest = g_compute_checksum_for_data(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar *>(Key.data()),
      Key.size());
  std::string Out = Digest;
  g_free(Digest);
  return Out;
}

std::optional<std::string> bearerKey(const std::string &Authorization) {
  constexpr std::string_view Scheme = "bearer ";
  if (Authorization.size() <= Scheme.size())
    return std::nullopt;
  for (std::size_t I = 0; I < Scheme.size(); ++I)
    if (std::tolower(static_cast<unsigned char>(Authorization[I])) != Scheme[I])
      return std::nullopt;
  return Authorization.substr(Scheme.size());
}

bool equalSecrets(const std::string &A, const std::string &B) {
  // The digests have equal lengths, and the position of their first difference
  // reveals nothing about where the secrets differ.
  std::string DigestA = hashKey(A);
  std::string DigestB = hashKey(B);
  unsigned Difference = 0;
  for (std::size_t I = 0; I < DigestA.size(); ++I)
    Difference |= static_cast<unsigned char>(DigestA[I] ^ DigestB[I]);
  return Difference == 0;
}

} // namespace oleandergauge::daemon
