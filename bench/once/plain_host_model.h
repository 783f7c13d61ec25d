#ifndef BENCH_ONCE_PLAIN_HOST_MODEL_H_
#define BENCH_ONCE_PLAIN_HOST_MODEL_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/once/host_model.h"
#include "include/once/run_records.h"

namespace toucanknot::bench {

// Two designs to compare tickets with. In both the caller identifies its
// request by a key of its own.
//   kStoreClaim: the host that gets it claims the key in the platform's store.
//   kKeyOwner: host 0 owns the key by hashing; the others ask it to run it. An
//   owner that was restarted has lost its records and must reply unknown.
class PlainHostModel : public HostModel {
 public:
  enum class Design { kStoreClaim, kKeyOwner };

  PlainHostModel(int index, Incarnation incarnation, Design design);

  std::unique_ptr<HostModel> Clone() const override;
  std::string Key() const override { return ""; }
  void OnMessage(const Message& message,
                 Instant now,
                 std::vector<Message>& out) override;
  size_t PendingReplies() const override { return waits_.size(); }
  void OnSilence(size_t i, Instant now, std::vector<Message>& out) override;
  size_t ReadyRuns() const override { return ready_ ? 1 : 0; }
  void Send(size_t i,
            int participant,
            Incarnation incarnation,
            Instant now,
            std::vector<Message>& out) override;
  void Refuse(size_t i, Instant now, std::vector<Message>& out) override;

 private:
  void OnRequest(const Message& m, Instant now, std::vector<Message>& out);
  void OnStoreReply(const Message& m, Instant now, std::vector<Message>& out);
  void RunOrJoin(const Message& m, Instant now, std::vector<Message>& out);
  void SendVerdict(const Message& query,
                   Verdict verdict,
                   std::vector<Message>& out) const;
  void End(const RunEnd& end, std::vector<Message>& out);
  std::optional<Message> TakeWait(MessageKind kind, uint64_t tag);
  Message MakeMessage(int participant, MessageKind kind, uint64_t tag) const;

  // A query of a caller or host, and the message awaited for it.
  struct Wait {
    MessageKind awaited;
    Message query;
  };

  int index_;
  Incarnation incarnation_;
  Design design_;
  RunRecords runs_;
  std::vector<Message> queries_;
  std::vector<Wait> waits_;
  bool ready_ = false;
};

}  // namespace toucanknot::bench

#endif  // BENCH_ONCE_PLAIN_HOST_MODEL_H_
