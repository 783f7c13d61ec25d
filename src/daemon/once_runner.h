#ifndef SRC_DAEMON_ONCE_RUNNER_H_
#define SRC_DAEMON_ONCE_RUNNER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <memory>

#include "src/daemon/crash_admission.h"
#include "src/daemon/sender.h"
#include "src/daemon/service_request.h"
#include "src/daemon/shared_ticket_records.h"
#include "src/http/planned_stop.h"

namespace toucanknot {

// Serves requests that must run at most once. They come from a caller with a
// ticket; from another host that owns the ticket and forwards the request; or
// as a query from another host about a ticket that this host issued.
class OnceRunner {
 public:
  OnceRunner(WorkerPool& workers,
             Sender& sender,
             SharedTicketRecords& tickets,
             CrashAdmission& crash_admission,
             std::atomic<uint64_t>& next_item,
             const PlannedStop& stop);

  boost::asio::awaitable<HttpResponse> Serve(ServiceRequestPtr service_request);
  // The kind of the request's forwarding token must be kRunOnce.
  boost::asio::awaitable<HttpResponse> ServeForwarded(
      ServiceRequestPtr service_request);
  // The kind of the request's forwarding token must be kAskOwner.
  boost::asio::awaitable<HttpResponse> ServeOwnerQuery(
      ServiceRequestPtr service_request);

 private:
  // Access to the record of one run, of this host's ticket or of a forwarded
  // request.
  class Record;

  // Runs an admitted request to completion.
  boost::asio::awaitable<HttpResponse> Run(ServiceRequestPtr service_request,
                                           std::shared_ptr<Record> record);
  boost::asio::awaitable<HttpResponse> AwaitRun(
      SharedTicketRecords::WaiterPtr waiter,
      ServiceRequestPtr service_request);
  boost::asio::awaitable<HttpResponse> QueryOwner(
      ServiceRequestPtr service_request,
      Ticket ticket);
  // The response for a reply that completes the request without a run.
  HttpResponse ResponseFor(const TicketReply& reply,
                           const ServiceRequest& service_request);
  HttpResponse ResponseForEnd(const RunEnd& end);
  SharedTicketRecords::WaiterPtr NewWaiter() const;
  // Adds a new ticket with which the caller may send the request again.
  void AddTicket(const ServiceRequest& service_request, HttpResponse& response);

  WorkerPool& workers_;
  Sender& sender_;
  SharedTicketRecords& tickets_;
  CrashAdmission& crash_admission_;
  std::atomic<uint64_t>& next_item_;
  const PlannedStop& stop_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_ONCE_RUNNER_H_
