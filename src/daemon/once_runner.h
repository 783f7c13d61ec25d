#ifndef SRC_DAEMON_ONCE_RUNNER_H_
#define SRC_DAEMON_ONCE_RUNNER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <memory>

#include "src/daemon/call.h"
#include "src/daemon/crash_admission.h"
#include "src/daemon/sender.h"
#include "src/daemon/shared_ticket_records.h"

namespace toucanknot {

// Serves requests that must run at most once. Three ways in: from a caller,
// under a ticket; from another host, which owns the ticket and passes the
// request on; from another host that asks what became of a ticket of ours.
class OnceRunner {
 public:
  OnceRunner(WorkerPool& workers,
             Sender& sender,
             SharedTicketRecords& tickets,
             CrashAdmission& gate,
             std::atomic<uint64_t>& next_item);

  boost::asio::awaitable<HttpResponse> Serve(ServiceRequestPtr call);
  // The call's pass mark says kRunOnce.
  boost::asio::awaitable<HttpResponse> ServeForwarded(ServiceRequestPtr call);
  // The call's pass mark says kAskOwner.
  boost::asio::awaitable<HttpResponse> ServeQuestion(ServiceRequestPtr call);

 private:
  // The record that a run is kept in: of our own ticket, or of a passing.
  class Record;

  // Runs an admitted request to its end.
  boost::asio::awaitable<HttpResponse> Run(ServiceRequestPtr call,
                                           std::shared_ptr<Record> record);
  boost::asio::awaitable<HttpResponse> Await(
      SharedTicketRecords::WaiterPtr waiter,
      ServiceRequestPtr call);
  boost::asio::awaitable<HttpResponse> AskOwner(ServiceRequestPtr call,
                                                Ticket ticket);
  // The answer for a reply that ends the request here.
  HttpResponse ResponseFor(const TicketReply& reply, const Call& call);
  HttpResponse ResponseForEnd(const RunEnd& end);
  SharedTicketRecords::WaiterPtr NewWaiter() const;
  // Adds a fresh ticket, for a caller that may begin again.
  void OfferTicket(const Call& call, HttpResponse& answer);

  WorkerPool& workers_;
  Sender& sender_;
  SharedTicketRecords& tickets_;
  CrashAdmission& gate_;
  std::atomic<uint64_t>& next_item_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_ONCE_RUNNER_H_
