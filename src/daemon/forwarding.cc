#include "daemon/forwarding.h"

namespace oleandergauge::daemon {

codec::Forward makeForward(const PartitionId &Partition,
                           const HomeRequest &Request) {
  codec::ForwardedRequest Forwarded = std::visit(
      detail::Overloaded{
          [](const Submitted &Content) -> codec::ForwardedRequest {
            return codec::ForwardedSubmit{Content.Spec_};
          },
          [](const CancelRequested &Content) -> codec::ForwardedRequest {
            return codec::ForwardedCancel{Content.Team_, Content.Job_};
          },
          [](const JobQueried &Content) -> codec::ForwardedRequest {
            return codec::ForwardedQuery{Content.Team_, Content.Job_,
                                         Content.WaitForEnd_};
          }},
      Request);
  return {Partition, std::move(Forwarded)};
}

HomeRequested unpackForward(const codec::Forward &Forwarded, Token Id) {
  HomeRequest Request = std::visit(
      detail::Overloaded{
          [Id](const codec::ForwardedSubmit &Content) -> HomeRequest {
            return Submitted{Id, Content.Spec_};
          },
          [Id](const codec::ForwardedCancel &Content) -> HomeRequest {
            return CancelRequested{Id, Content.Team_, Content.Job_};
          },
          [Id](const codec::ForwardedQuery &Content) -> HomeRequest {
            return JobQueried{Id, Content.Team_, Content.Job_,
                              Content.WaitForEnd_};
          }},
      Forwarded.Request_);
  return {Requester::Peer, Forwarded.Partition_, std::move(Request)};
}

} // namespace oleandergauge::daemon
