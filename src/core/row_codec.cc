#include "oleandergauge/allotment.h"
#include "oleandergauge/lease.h"

#include "store.pb.h"

namespace oleandergauge {

std::string encodeOwner(const PartitionOwner &Owner) {
  wire::OwnerRow Message;
  Message.set_epoch(Owner.Epoch_);
  Message.set_host(Owner.Host_.str());
  Message.set_address(Owner.Address_);
  return Message.SerializeAsString();
}

std::optional<PartitionOwner> decodeOwner(const std::string &Bytes) {
  wire::OwnerRow Message;
  if (!Message.ParseFromString(Bytes))
    return std::nullopt;
  return PartitionOwner{Message.epoch(), HostId(Message.host()),
                        Message.address()};
}

std::string encodeLease(const LeaseRow &Row) {
  wire::LeaseRow Message;
  Message.set_epoch(Row.Epoch_);
  Message.set_counter(Row.Counter_);
  return Message.SerializeAsString();
}

std::optional<LeaseRow> decodeLease(const std::string &Bytes) {
  wire::LeaseRow Message;
  if (!Message.ParseFromString(Bytes))
    return std::nullopt;
  return LeaseRow{Message.epoch(), Message.counter()};
}

std::string encodeAllotment(const AllotmentRow &Row) {
  wire::AllotmentRow Message;
  Message.set_limit(Row.Limit_);
  for (const auto &[Partition, Grant] : Row.Grants_)
    (*Message.mutable_grants())[Partition.str()] = Grant;
  for (const PartitionId &Partition : Row.Wanting_)
    Message.add_wanting(Partition.str());
  return Message.SerializeAsString();
}

std::optional<AllotmentRow> decodeAllotment(const std::string &Bytes) {
  wire::AllotmentRow Message;
  if (!Message.ParseFromString(Bytes))
    return std::nullopt;
  AllotmentRow Row;
  Row.Limit_ = Message.limit();
  for (const auto &[Partition, Grant] : Message.grants())
    Row.Grants_.emplace(PartitionId(Partition), Grant);
  for (const std::string &Partition : Message.wanting())
    Row.Wanting_.insert(PartitionId(Partition));
  return Row;
}

} // namespace oleandergauge
