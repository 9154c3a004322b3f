#ifndef OLEANDERGAUGE_NODE_SOCKET_ADDRESS_H
#define OLEANDERGAUGE_NODE_SOCKET_ADDRESS_H

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <arpa/inet.h>

namespace oleandergauge::node {

/// An IPv4 address and a port to connect to or to listen at.
struct SocketAddress {
  std::string Ip_;
  std::uint16_t Port_ = 0;
  friend bool operator==(const SocketAddress &,
                         const SocketAddress &) = default;
};

/// Whether \p Text is an IPv4 address in dotted decimal form.
inline bool isIpAddress(const std::string &Text) {
  in_addr Ignored;
  return Text.find('\0') == std::string::npos &&
         inet_pton(AF_INET, Text.c_str(), &Ignored) == 1;
}

/// Returns no value unless \p Text is a decimal number from 1 to 65535.
inline std::optional<std::uint16_t> parsePort(std::string_view Text) {
  std::uint16_t Out = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Out);
  if (Read.ec != std::errc() || Read.ptr != End || Out == 0)
    return std::nullopt;
  return Out;
}

/// Parses "ip:port". Returns no value for a port out of range and for anything
/// but an IPv4 address: resolving a host name would block the event loop.
inline std::optional<SocketAddress>
parseSocketAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::string Ip = Text.substr(0, Colon);
  const auto Port = parsePort(std::string_view(Text).substr(Colon + 1));
  if (!Port || !isIpAddress(Ip))
    return std::nullopt;
  return SocketAddress{std::move(Ip), *Port};
}

} // namespace oleandergauge::node

#endif // OLEANDERGAUGE_NODE_SOCKET_ADDRESS_H
