#include "daemon/forwarding.h"

namespace oleandergauge::daemon {

codec::Forward makeForward(const PartitionId &Partition,
                           const HomeRequest &Request) {
  codec::ForwardedRequest Passed = std::visit(
      detail::Overloaded{
          [](const Submitted &Any) -> codec::ForwardedRequest {
            return codec::ForwardedSubmit{Any.Spec_};
          },
          [](const CancelRequested &Any) -> codec::ForwardedRequest {
            return codec::ForwardedCancel{Any.Team_, Any.Job_};
          },
          [](const JobQueried &Any) -> codec::ForwardedRequest {
            return codec::ForwardedQuery{Any.Team_, Any.Job_, Any.WaitForEnd_};
          }},
      Request);
  return {Partition, std::move(Passed)};
}

HomeAsked takeForward(const codec::Forward &Passed, Token Id) {
  HomeRequest Request = std::visit(
      detail::Overloaded{
          [Id](const codec::ForwardedSubmit &Any) -> HomeRequest {
            return Submitted{Id, Any.Spec_};
          },
          [Id](const codec::ForwardedCancel &Any) -> HomeRequest {
            return CancelRequested{Id, Any.Team_, Any.Job_};
          },
          [Id](const codec::ForwardedQuery &Any) -> HomeRequest {
            return JobQueried{Id, Any.Team_, Any.Job_, Any.WaitForEnd_};
          }},
      Passed.Request_);
  return {Requester::Peer, Passed.Partition_, std::move(Request)};
}

} // namespace oleandergauge::daemon
