#include "node/machine_lister.h"

#include <gtest/gtest.h>

#include "node/http_server.h"

namespace oleandergauge::node {
namespace {

constexpr const char *Address = "127.0.8.1:18191";
constexpr Millis TestTimeout = 5000;

/// Returns a page with one machine; \p Next is the token of the page after it.
std::string makePage(const std::string &Machine, const std::string &State,
                     const std::string &Next) {
  return R"({"machines":[{"machine":")" + Machine + R"(","state":")" + State +
         R"(","id":"w"}],"next_token":")" + Next + R"("})";
}

class MachineListerTest : public testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(Server_.listen(Address)); }
  /// Starts a reading and records its list under \p Number.
  void read(int Number) {
    Lister_.read([this, Number](const auto &Machines) {
      Lists_.emplace_back(Number, Machines);
    });
  }
  /// Runs the event loop until the service has received \p Count requests.
  void runUntilRequests(std::size_t Count) {
    runUntil([this, Count] { return Requests_.size() >= Count; });
    ASSERT_EQ(Requests_.size(), Count);
  }
  void runUntil(const std::function<bool()> &IsDone) {
    const Millis GiveUpAt = bootTime() + TestTimeout;
    while (!IsDone() && bootTime() < GiveUpAt) {
      Loop_.runAfter(1, [this] { Loop_.stop(); });
      Loop_.run();
    }
  }
  void answer(std::size_t Request, const std::string &Body) {
    Requests_[Request]->answer(200, Body, {});
  }

  EventLoop Loop_;
  std::vector<std::shared_ptr<IncomingRequest>> Requests_;
  HttpServer Server_{Loop_,
                     [this](const std::shared_ptr<IncomingRequest> &Request) {
                       Requests_.push_back(Request);
                     }};
  HttpConnectionPool Pool_{Loop_, Address, 2};
  MachineLister Lister_{Pool_};
  /// The lists by the number of their reading, in the order of their arrival.
  std::vector<std::pair<int, std::optional<std::vector<cell::MachineEntry>>>>
      Lists_;
};

// Guards against a list that counts as the answer to a later request: a machine
// that has gone down in between was taken for one that is up again.
TEST_F(MachineListerTest, DropsTheAnswerToAnEarlierRequest) {
  read(1);
  runUntilRequests(1);
  read(2);
  runUntilRequests(2);
  answer(0, makePage("a", "up", ""));
  runUntil([this] { return !Lists_.empty() || Pool_.countBusy() == 1; });
  EXPECT_TRUE(Lists_.empty());
  answer(1, makePage("a", "upkeep", ""));
  runUntil([this] { return Pool_.countBusy() == 0; });
  ASSERT_EQ(Lists_.size(), 1U);
  EXPECT_EQ(Lists_[0].first, 2);
  EXPECT_EQ(
      Lists_[0].second,
      std::vector({cell::MachineEntry{"a", "w", cell::MachineState::Upkeep}}));
}

// Guards against a list that lacks the pages which an earlier request has read:
// machines that it lacks were taken for removed, and their upkeep for done.
TEST_F(MachineListerTest, KeepsThePagesOfTwoRequestsApart) {
  read(1);
  runUntilRequests(1);
  answer(0, makePage("a", "up", "p2"));
  runUntilRequests(2);
  read(2);
  runUntilRequests(3);
  answer(1, makePage("b", "up", ""));
  answer(2, makePage("a", "up", "p2"));
  runUntilRequests(4);
  answer(3, makePage("b", "up", ""));
  runUntil([this] { return Pool_.countBusy() == 0; });
  ASSERT_EQ(Lists_.size(), 1U);
  EXPECT_EQ(Lists_[0].first, 2);
  ASSERT_TRUE(Lists_[0].second);
  EXPECT_EQ(Lists_[0].second->size(), 2U);
}

} // namespace
} // namespace oleandergauge::node
