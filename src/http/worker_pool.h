#ifndef SRC_HTTP_WORKER_POOL_H_
#define SRC_HTTP_WORKER_POOL_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace toucanknot {

// A fixed number of worker threads, each with its own event loop. A connection
// stays on one worker, so that its state needs no lock; tables shared by
// workers have their own locks.
class WorkerPool {
 public:
  using Loop = boost::asio::io_context;

  // Starts `count` threads, at least one.
  explicit WorkerPool(int count);
  // Stops the loops and joins the threads.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  int size() const { return static_cast<int>(loops_.size()); }
  Loop& loop(int i) { return *loops_[i]; }
  // Returns the loops in round-robin order, to distribute new connections.
  Loop& NextLoop();
  // The index of the worker that the calling thread is; -1 when the thread does
  // not belong to a pool.
  static int CurrentWorker();

  // Stops the loops immediately and joins the threads. Must not be called from
  // a worker. Objects that hold sockets must be destroyed between this call and
  // the pool's destruction, which destroys the suspended coroutines.
  void Stop();
  bool stopped() const { return stopped_; }

 private:
  using Guard = boost::asio::executor_work_guard<Loop::executor_type>;

  std::vector<std::unique_ptr<Loop>> loops_;
  std::vector<Guard> guards_;
  std::vector<std::thread> threads_;
  std::atomic<unsigned> next_{0};
  std::atomic<bool> stopped_{false};
};

}  // namespace toucanknot

#endif  // SRC_HTTP_WORKER_POOL_H_
