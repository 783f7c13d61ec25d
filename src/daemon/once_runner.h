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

// Serves requests that must run at most once. They come from a caller with a
// ticket; from another host that owns the ticket and forwards the request; or
// as a query from another host about a ticket that this host issued.
class OnceRunner {
 public:
  OnceRunner(WorkerPool& workers,
             Sender& sender,
             SharedTicketRecords& tickets,
             CrashAdmission& gate,
             std::atomic<uint64_t>& next_item);

  boost::asio::awaitable<HttpResponse> Serve(ServiceRequestPtr call);
  // The kind of the request's forwarding token must be kRunOnce.
  boost::asio::awaitable<HttpResponse> ServeForwarded(ServiceRequestPtr call);
  // The kind of the request's forwarding token must be kAskOwner.
  boost::asio::awaitable<HttpResponse> ServeQuestion(ServiceRequestPtr call);

 private:
  // Access to the record of one run, of this host's ticket or of a forwarded
  // request.
  class Record;

  // Runs an admitted request to completion.
  boost::asio::awaitable<HttpResponse> Run(ServiceRequestPtr call,
                                           std::shared_ptr<Record> record);
  boost::asio::awaitable<HttpResponse> Await(
      SharedTicketRecords::WaiterPtr waiter,
      ServiceRequestPtr call);
  boost::asio::awaitable<HttpResponse> AskOwner(ServiceRequestPtr call,
                                                Ticket ticket);
  // The response for a reply that completes the request without a run.
  HttpResponse ResponseFor(const TicketReply& reply, const Call& call);
  HttpResponse ResponseForEnd(const RunEnd& end);
  SharedTicketRecords::WaiterPtr NewWaiter() const;
  // Adds a new ticket with which the caller may send the request again.
  void OfferTicket(const Call& call, HttpResponse& answer);

  WorkerPool& workers_;
  Sender& sender_;
  SharedTicketRecords& tickets_;
  CrashAdmission& gate_;
  std::atomic<uint64_t>& next_item_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_ONCE_RUNNER_H_
