#include "decisions/stream_records.h"

namespace corianderpost {

void StreamRecords::Index(const StreamRecord& record) {
  const CustomerId customer = record.stream.customer;
  ExpiryOrder& order = by_customer_[customer];
  counts_.erase({order.size(), customer});
  order.emplace(record.expires_at, record.stream.key);
  counts_.emplace(order.size(), customer);
}

void StreamRecords::Unindex(const StreamRecord& record) {
  const CustomerId customer = record.stream.customer;
  const auto it = by_customer_.find(customer);
  counts_.erase({it->second.size(), customer});
  it->second.erase({record.expires_at, record.stream.key});
  if (it->second.empty()) {
    by_customer_.erase(it);
  } else {
    counts_.emplace(it->second.size(), customer);
  }
}

void StreamRecords::EvictOne(CustomerId newest) {
  const auto [most, last] = *counts_.rbegin();
  const CustomerId customer =
      by_customer_.at(newest).size() == most ? newest : last;
  const StreamKey key = by_customer_.at(customer).begin()->second;
  const auto it = records_.find(key);
  Unindex(it->second);
  records_.erase(it);
  ++eviction_count_;
}

void StreamRecords::Add(const BegunStream& stream, TimePoint begun_at,
                        bool is_conflict) {
  const TimePoint expires_at = begun_at + kStreamRetention;
  const auto [it, is_new] = records_.try_emplace(
      stream.key, StreamRecord{stream, begun_at, expires_at, is_conflict});
  StreamRecord& record = it->second;
  if (is_new) {
    Index(record);
    if (records_.size() > max_records_) {
      EvictOne(stream.customer);
    }
    return;
  }
  record.is_conflict = record.is_conflict || is_conflict ||
                       record.stream.customer != stream.customer ||
                       record.stream.service != stream.service ||
                       !record.stream.version.IsSame(stream.version);
  if (begun_at < record.begun_at) {
    record.stream.target = stream.target;
    record.stream.incarnation = stream.incarnation;
    record.begun_at = begun_at;
  }
  if (expires_at > record.expires_at) {
    Unindex(record);
    record.expires_at = expires_at;
    Index(record);
  }
}

const StreamRecord* StreamRecords::Find(TimePoint now,
                                        const StreamKey& key) const {
  const auto it = records_.find(key);
  return it == records_.end() || now >= it->second.expires_at ? nullptr
                                                              : &it->second;
}

void StreamRecords::Expire(TimePoint now) {
  for (auto it = by_customer_.begin(); it != by_customer_.end();) {
    const CustomerId customer = it->first;
    ++it;
    while (true) {
      const auto order = by_customer_.find(customer);
      if (order == by_customer_.end() || order->second.empty() ||
          now < order->second.begin()->first) {
        break;
      }
      const auto record = records_.find(order->second.begin()->second);
      Unindex(record->second);
      records_.erase(record);
    }
  }
}

}  // namespace corianderpost
