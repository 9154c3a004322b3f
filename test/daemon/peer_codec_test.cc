#include "codec/peer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "codec/json.h"
#include "daemon/codec_generators.h"

namespace oleandergauge::codec {
namespace {

using std::chrono::milliseconds;

TimePoint atMs(std::int64_t Ms) { return TimePoint(milliseconds(Ms)); }

Heartbeat sampleHeartbeat() {
  Heartbeat PeerHeartbeat;
  PeerHeartbeat.From_ = {HostId("b"), "127.0.0.1:7000", Region("r"),
                         FailureDomain("d")};
  PeerHeartbeat.Draining_ = true;
  PeerHeartbeat.Vouch_ = {9, atMs(400), true, atMs(1000)};
  PeerHeartbeat.Owned_ = {{PartitionId("p"), 3, 17}};
  return PeerHeartbeat;
}

JobSpec anySpec() {
  JobSpec Spec;
  Spec.Team_ = TeamId(*testing::names());
  Spec.Request_ = RequestId(*testing::names());
  Spec.Id_ = makeJobId(Spec.Team_, Spec.Request_);
  Spec.Queue_ = QueueId(*testing::names());
  Spec.Class_ = static_cast<WorkClass>(*rc::gen::inRange(0, 4));
  Spec.Urgent_ = *rc::gen::arbitrary<bool>();
  Spec.Idempotent_ = *rc::gen::arbitrary<bool>();
  Spec.TaskCount_ = *rc::gen::inRange<std::uint32_t>(1, 4097);
  Spec.Need_ = {*rc::gen::inRange(0, 9000), 5, 1, 2, 3};
  Spec.DeclaredRun_ = milliseconds(*rc::gen::inRange(0, 9000));
  Spec.StartWithin_ = milliseconds(*rc::gen::inRange(0, 9000));
  Spec.ExpiresIn_ = milliseconds(*rc::gen::inRange(0, 900'000));
  Spec.Command_ = *rc::gen::arbitrary<std::string>();
  Spec.Body_ = *rc::gen::arbitrary<std::string>();
  return Spec;
}

Forward anyForward() {
  const JobSpec Spec = anySpec();
  const PartitionId Home(*testing::names());
  switch (*rc::gen::inRange(0, 3)) {
  case 0:
    return {Home, ForwardedSubmit{Spec}};
  case 1:
    return {Home, ForwardedCancel{Spec.Team_, Spec.Id_}};
  default:
    return {Home, ForwardedQuery{Spec.Team_, Spec.Id_, Spec.Urgent_}};
  }
}

Result<JobStatus> anyAnswer() {
  const auto AnyVerdict = static_cast<Verdict>(*rc::gen::inRange(0, 3));
  const auto Reason = static_cast<RefusalReason>(*rc::gen::inRange(0, 17));
  if (*rc::gen::arbitrary<bool>())
    return tl::unexpected(Refusal{AnyVerdict, Reason, *testing::names(),
                                  milliseconds(*rc::gen::inRange(0, 999))});
  const JobSpec Spec = anySpec();
  JobStatus Status{Spec.Id_,     Spec.Team_,   Spec.Queue_, Spec.Class_,
                   Spec.Urgent_, std::nullopt, {}};
  if (*rc::gen::arbitrary<bool>())
    Status.CancelledFor_ = Reason;
  Status.Tasks_.push_back({{Spec.Id_, 7},
                           static_cast<TaskState>(*rc::gen::inRange(0, 5)),
                           2,
                           WorkerId("w"),
                           AnyVerdict,
                           -1,
                           Spec.Body_,
                           "waits"});
  return Status;
}

// Guards against a vouch that appears more recent than it is. The receiver
// would then act beyond the evidence bound.
TEST(PeerCodecTest, ReplyCountsItsAgesFromTheRequest) {
  const auto Read = decodeHeartbeatReply(
      encodeHeartbeatReply(sampleHeartbeat()), atMs(50000));
  ASSERT_TRUE(Read) << Read.error().Message_;
  Heartbeat Expected = sampleHeartbeat();
  Expected.Vouch_.SentAt_ = atMs(50000);
  Expected.Vouch_.HeadReadAt_ = atMs(50000 - 660);
  EXPECT_EQ(*Read, Expected);
}

// Guards against accepting a heartbeat request as evidence, since it may have
// been delayed for any time.
TEST(PeerCodecTest, RequestCarriesNoVouch) {
  const auto Read = decodeHeartbeat(encodeHeartbeat(sampleHeartbeat()));
  ASSERT_TRUE(Read) << Read.error().Message_;
  Heartbeat Expected = sampleHeartbeat();
  Expected.Vouch_ = {9, std::nullopt, false, UnknownTime};
  EXPECT_EQ(*Read, Expected);
}

// Guards against an age from a faulty peer that moves the head read into the
// future or overflows the time type.
RC_GTEST_PROP(PeerCodecTest, ReadIsNeverLaterThanTheRequest, ()) {
  Heartbeat PeerHeartbeat = sampleHeartbeat();
  PeerHeartbeat.Vouch_.HeadReadAt_ =
      TimePoint(Duration(*rc::gen::arbitrary<std::int32_t>()));
  const Duration Age = atMs(1000) - *PeerHeartbeat.Vouch_.HeadReadAt_;
  const auto Read =
      decodeHeartbeatReply(encodeHeartbeatReply(PeerHeartbeat), atMs(50000));
  RC_ASSERT(Read.has_value());
  RC_ASSERT(Read->Vouch_.HeadReadAt_ <= atMs(50000));
  RC_ASSERT(Read->Vouch_.HeadReadAt_ <= atMs(50000) - Age);
}

RC_GTEST_PROP(PeerCodecTest, ForwardsAndAnswersRoundTrip, ()) {
  const Forward Forwarded = anyForward();
  const auto Read = decodeForward(encodeForward(Forwarded));
  RC_ASSERT(Read.has_value());
  RC_ASSERT(*Read == Forwarded);
  const Result<JobStatus> Answer = anyAnswer();
  const bool Same = decodeForwardReply(encodeForwardReply(Answer)) == Answer;
  RC_ASSERT(Same);
}

// Guards against malformed messages of a peer that crash a host.
RC_GTEST_PROP(PeerCodecTest, DamagedMessagesAreRefusedOrRead, ()) {
  const Forward Forwarded = anyForward();
  const std::string Bytes = testing::mutated(encodeForward(Forwarded));
  if (const auto Read = decodeForward(Bytes))
    RC_ASSERT(*decodeForward(encodeForward(*Read)) == *Read);
  else
    RC_ASSERT(Read.error().Verdict_ == Verdict::NotRun);
  (void)decodeForwardReply(testing::mutated(encodeForwardReply(anyAnswer())));
  const std::string PeerHeartbeat =
      testing::mutated(encodeHeartbeatReply(sampleHeartbeat()));
  if (const auto Read = decodeHeartbeatReply(PeerHeartbeat, atMs(50000)))
    RC_ASSERT(Read->Vouch_.HeadReadAt_ <= atMs(50000));
  (void)decodeHeartbeat(PeerHeartbeat);
}

// Guards against the verdict "not_run" for an answer that cannot be decoded
// (P7).
TEST(PeerCodecTest, UnreadableAnswerMayHaveRun) {
  for (const std::string Bytes : {"", "\x08", "\x12\x05"})
    EXPECT_EQ(decodeForwardReply(Bytes).error().Verdict_, Verdict::MayHaveRun);
}

// Guards against a team that reaches another team's job through a forwarded
// request.
TEST(PeerCodecTest, ForwardsOfAnotherTeamsJobAreRefused) {
  const Forward Forwarded{PartitionId("p"),
                          ForwardedCancel{TeamId("red"), JobId("blue:r-1")}};
  EXPECT_FALSE(decodeForward(encodeForward(Forwarded)));
}

} // namespace
} // namespace oleandergauge::codec
