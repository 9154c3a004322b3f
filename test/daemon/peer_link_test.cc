#include "daemon/peer_link.h"

#include <gtest/gtest.h>

#include "daemon/task.h"
#include "fake_server.h"

namespace oleandergauge::daemon {
namespace {

using std::chrono::milliseconds;
using testing::FakeServer;

constexpr Duration ShortTimeout = milliseconds(400);
constexpr Duration LongTimeout = milliseconds(20000);

PeerReply send(PeerClient &Client, const std::string &Address,
               const std::string &Body, Duration Timeout) {
  return testing::await<PeerReply>([&](auto Done) {
    Client.request(Address, ForwardPath, Body, Timeout, Done);
  });
}

PeerOutcome sendOnce(const std::string &Address) {
  PeerClient Client;
  return send(Client, Address, "body", ShortTimeout).Outcome_;
}

void runFor(Duration Span) {
  const TimePoint End = monotonicNow() + Span;
  while (monotonicNow() < End) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(500);
  }
}

/// Makes an HTTP/2 frame.
std::string frame(char Type, char Flags, char Stream,
                  const std::string &Payload) {
  const char Head[] = {
      0, 0, static_cast<char>(Payload.size()), Type, Flags, 0, 0, 0, Stream};
  return std::string(Head, sizeof(Head)) + Payload;
}

const std::string Settings = frame(4, 0, 0, "");

std::string resetStream(char ErrorCode) {
  return frame(3, 0, 1, std::string("\0\0\0", 3) + ErrorCode);
}

/// Makes a fake peer that replies to the first request with the given frames,
/// and then closes the connection if \p Close is true.
FakeServer::Answer replyWithFrames(const std::string &Frames, bool Close) {
  // FakeServer treats the two parts of the HTTP/2 connection preface as
  // requests. The client sends its first request without waiting for a reply to
  // the preface.
  return [=](const std::string &RequestPart) -> std::optional<std::string> {
    if (RequestPart.starts_with("PRI"))
      return Settings;
    g_usleep(100000);
    return Close ? Frames + "Connection: close" : Frames;
  };
}

// Guards against a reply that reaches the wrong caller or is truncated (P6).
// The replies are sent in reverse order and exceed the flow control windows.
TEST(PeerLinkTest, GivesEachCallerItsOwnWholeReply) {
  const std::string Address = testing::freeAddress();
  std::vector<std::pair<std::string, PeerResponder>> Responders;
  PeerServer Server(Address,
                    [&](const std::string &Path, const std::string &Body,
                        PeerResponder Respond) {
                      EXPECT_EQ(Path, ForwardPath);
                      Responders.emplace_back(Body, std::move(Respond));
                    });
  PeerClient Client;
  constexpr int Count = 50;
  std::vector<std::string> Replies(Count);
  int Done = 0;
  const std::string Filler(700000, 'x');
  for (int I = 0; I < Count; ++I)
    Client.request(Address, ForwardPath, std::to_string(I) + Filler,
                   LongTimeout, [&, I](const PeerReply &Reply) {
                     EXPECT_EQ(Reply.Outcome_, PeerOutcome::Answered);
                     Replies[I] = Reply.Body_;
                     ++Done;
                   });
  while (Responders.size() < Count)
    g_main_context_iteration(nullptr, TRUE);
  for (auto Entry = Responders.rbegin(); Entry != Responders.rend(); ++Entry)
    Entry->second("re" + Entry->first);
  while (Done < Count)
    g_main_context_iteration(nullptr, TRUE);
  for (int I = 0; I < Count; ++I)
    EXPECT_EQ(Replies[I], "re" + std::to_string(I) + Filler);
}

// Guards against sending a request to another host although it may have been
// handled, and against "may have run" for a request that was not handled.
TEST(PeerLinkTest, ClassifiesRequestsWithoutReply) {
  const auto OutcomeOf = [](const std::string &Frames, bool Close) {
    FakeServer Server(replyWithFrames(Frames, Close));
    return sendOnce(Server.address());
  };
  const char RefusedStream = 7;
  const char Cancel = 8;
  const std::string GoAway = frame(7, 0, 0, std::string("\0\0\0\0\0\0\0\0", 8));
  const std::string Status200 = frame(1, 4, 1, "\x88");
  EXPECT_EQ(OutcomeOf(resetStream(RefusedStream), false), PeerOutcome::NotSent);
  EXPECT_EQ(OutcomeOf(GoAway, false), PeerOutcome::NotSent);
  EXPECT_EQ(OutcomeOf(resetStream(Cancel), false), PeerOutcome::Unknown);
  EXPECT_EQ(OutcomeOf("", true), PeerOutcome::Unknown);
  EXPECT_EQ(OutcomeOf("", false), PeerOutcome::Unknown);
  // A truncated reply.
  EXPECT_EQ(OutcomeOf(Status200 + frame(0, 0, 1, "part"), true),
            PeerOutcome::Unknown);
  // With a status other than 200, the effect of the request is unknown.
  EXPECT_EQ(OutcomeOf(frame(1, 5, 1, "\x8d"), false), PeerOutcome::Unknown);
  EXPECT_EQ(OutcomeOf(frame(1, 5, 1, "\x88"), false), PeerOutcome::Answered);
  EXPECT_EQ(sendOnce(testing::freeAddress()), PeerOutcome::NotSent);
}

// Guards against handling a part of a body that is larger than the limit.
TEST(PeerLinkTest, SendsNoBodyAboveTheLimit) {
  const std::string Address = testing::freeAddress();
  int Handled = 0;
  PeerServer Server(Address, [&](const std::string &, const std::string &Body,
                                 const PeerResponder &Respond) {
    ++Handled;
    Respond(std::to_string(Body.size()));
  });
  PeerClient Client;
  EXPECT_EQ(
      send(Client, Address, std::string(MaxPeerBody + 1, 'x'), LongTimeout),
      (PeerReply{PeerOutcome::NotSent, ""}));
  EXPECT_EQ(send(Client, Address, std::string(MaxPeerBody, 'x'), LongTimeout),
            (PeerReply{PeerOutcome::Answered, std::to_string(MaxPeerBody)}));
  EXPECT_EQ(Handled, 1);
}

// Guards against a client that keeps a dead connection after its peer was
// replaced, and against counting the request of a stopped peer as not handled.
TEST(PeerLinkTest, ConnectsAgainAfterThePeerWasReplaced) {
  const std::string Address = testing::freeAddress();
  PeerClient Client;
  PeerResponder KeptResponder;
  auto First = std::make_unique<PeerServer>(
      Address,
      [&](const std::string &, const std::string &, PeerResponder Respond) {
        KeptResponder = std::move(Respond);
      });
  std::optional<PeerReply> LostReply;
  Client.request(Address, ForwardPath, "a", LongTimeout,
                 [&LostReply](const PeerReply &Reply) { LostReply = Reply; });
  while (!KeptResponder)
    g_main_context_iteration(nullptr, TRUE);
  First.reset();
  KeptResponder("after the server's end");
  while (!LostReply)
    g_main_context_iteration(nullptr, TRUE);
  EXPECT_EQ(LostReply->Outcome_, PeerOutcome::Unknown);
  EXPECT_EQ(send(Client, Address, "b", ShortTimeout).Outcome_,
            PeerOutcome::NotSent);
  PeerServer Second(Address,
                    [](const std::string &, const std::string &Body,
                       const PeerResponder &Respond) { Respond(Body); });
  EXPECT_EQ(send(Client, Address, "c", LongTimeout),
            (PeerReply{PeerOutcome::Answered, "c"}));
}

// Guards against a late or second reply that breaks the connection for other
// requests.
TEST(PeerLinkTest, IgnoresLateAndSecondAnswers) {
  const std::string Address = testing::freeAddress();
  std::vector<PeerResponder> Late;
  PeerServer Server(Address, [&](const std::string &, const std::string &Body,
                                 PeerResponder Respond) {
    if (Body == "hold") {
      Late.push_back(std::move(Respond));
      return;
    }
    Respond(Body);
    Respond("second");
  });
  PeerClient Client;
  int Completions = 0;
  Client.request(Address, ForwardPath, "hold", ShortTimeout,
                 [&Completions](const PeerReply &Reply) {
                   EXPECT_EQ(Reply.Outcome_, PeerOutcome::Unknown);
                   ++Completions;
                 });
  runFor(2 * ShortTimeout);
  ASSERT_EQ(Late.size(), 1U);
  Late.front()("late");
  EXPECT_EQ(send(Client, Address, "x", LongTimeout),
            (PeerReply{PeerOutcome::Answered, "x"}));
  runFor(ShortTimeout);
  EXPECT_EQ(Completions, 1);
}

// Guards against a client that keeps a connection whose peer disappeared
// without closing it.
TEST(PeerLinkTest, GivesUpAConnectionWithoutAnswerToPings) {
  std::atomic<int> Connections = 0;
  FakeServer Server(
      [&](const std::string &RequestPart) -> std::optional<std::string> {
        if (!RequestPart.starts_with("PRI"))
          return "";
        ++Connections;
        return Settings;
      });
  PeerClient Client;
  for (int Round = 0; Round < 6; ++Round)
    EXPECT_EQ(send(Client, Server.address(), "x", ShortTimeout).Outcome_,
              PeerOutcome::Unknown);
  EXPECT_GE(Connections, 2);
}

// Guards against a server that starts although its address is in use.
TEST(PeerLinkTest, ThrowsWhereTheAddressCannotBeBound) {
  const std::string Address = testing::freeAddress();
  const auto Ignore = [](const std::string &, const std::string &,
                         const PeerResponder &) {};
  PeerServer First(Address, Ignore);
  EXPECT_THROW(PeerServer(Address, Ignore), std::runtime_error);
  EXPECT_THROW(PeerServer("no address", Ignore), std::runtime_error);
}

// Guards against completion callbacks that run after their client was
// destroyed.
TEST(PeerLinkTest, DropsCompletionsOfADestroyedClient) {
  const std::string Address = testing::freeAddress();
  PeerServer Server(Address,
                    [](const std::string &, const std::string &Body,
                       const PeerResponder &Respond) { Respond(Body); });
  {
    PeerClient Client;
    Client.request(Address, ForwardPath, "x", ShortTimeout,
                   [](const PeerReply &) { ADD_FAILURE(); });
  }
  auto Client = std::make_unique<PeerClient>();
  bool Called = false;
  Client->request(Address, ForwardPath, "x", LongTimeout,
                  [&](const PeerReply &) {
                    Client.reset();
                    Called = true;
                  });
  runFor(2 * ShortTimeout);
  EXPECT_TRUE(Called);
}

} // namespace
} // namespace oleandergauge::daemon
