#ifndef OLEANDERGAUGE_CODEC_PEER_H
#define OLEANDERGAUGE_CODEC_PEER_H

#include <string>
#include <variant>

#include "oleandergauge/base.h"
#include "oleandergauge/journal.h"
#include "oleandergauge/membership.h"
#include "oleandergauge/partition.h"

namespace oleandergauge::codec {

/// Converts the messages between entry hosts (schema/peer.proto). Decoders
/// refuse bytes that they cannot use and never throw.
///
/// Heartbeats and time. Clocks of two hosts are never compared; a vouch says
/// how old its read of the head was when the vouch was made. The receiver of
/// a reply knows that the vouch was made after it had sent its own request,
/// so it counts all ages from that moment, which is never later than the real
/// one. The receiver of a request knows no such moment: the request may have
/// been under way for any time. A request therefore makes its sender known,
/// with its partitions and the head that it has seen, but carries no vouch:
/// SentAt_ is UnknownTime, HeadReadAt_ empty and StoreOut_ false. Each host
/// sends requests to all peers, so that each has the other's replies.

/// Made for each request or reply; Vouch_ must come from
/// FreshnessGuard::vouch and, for a reply, must have been made after the
/// request came in.
std::string encodeHeartbeat(const Heartbeat &Beat);
std::string encodeHeartbeatReply(const Heartbeat &Beat);

Result<Heartbeat> decodeHeartbeat(const std::string &Bytes);
/// \p RequestSentAt is the moment before the request was written. Ages grow
/// by 10% for clocks that run at different rates.
Result<Heartbeat> decodeHeartbeatReply(const std::string &Bytes,
                                       TimePoint RequestSentAt);

struct ForwardedSubmit {
  JobSpec Spec_;
  friend bool operator==(const ForwardedSubmit &,
                         const ForwardedSubmit &) = default;
};

struct ForwardedCancel {
  TeamId Team_;
  JobId Job_;
  friend bool operator==(const ForwardedCancel &,
                         const ForwardedCancel &) = default;
};

struct ForwardedQuery {
  TeamId Team_;
  JobId Job_;
  bool WaitForEnd_ = false;
  friend bool operator==(const ForwardedQuery &,
                         const ForwardedQuery &) = default;
};

using ForwardedRequest =
    std::variant<ForwardedSubmit, ForwardedCancel, ForwardedQuery>;

/// A request for the owner of its home partition. It may be sent again after
/// a lost answer: the home knows the job by its identifier, so a submission
/// does not make a second job and gets the answer of the first.
struct Forward {
  PartitionId Partition_;
  ForwardedRequest Request_;
  friend bool operator==(const Forward &, const Forward &) = default;
};

std::string encodeForward(const Forward &Passed);
/// A refusal is NotRun: the home does nothing with what it cannot read.
Result<Forward> decodeForward(const std::string &Bytes);

std::string encodeForwardReply(const Result<JobStatus> &Answer);
/// The home's answer. Bytes that cannot be read are a refusal with
/// MayHaveRun, since the home has handled the request. Of values that a newer
/// home may send, an unknown verdict reads as MayHaveRun, an unknown task
/// state as Unknown and an unknown reason as OwnerUnavailable.
Result<JobStatus> decodeForwardReply(const std::string &Bytes);

} // namespace oleandergauge::codec

#endif // OLEANDERGAUGE_CODEC_PEER_H
